"""Command-line parsing with absl.flags and one exit code for misuse."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl import flags

EXIT_MISUSE = 2


class MisuseError(Exception):
    """Invalid command line; the message names the remedy."""


def new_flags() -> flags.FlagValues:
    """Create flags with ``--help``."""
    values = flags.FlagValues()
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=values)
    return values


def parse_flags(values: flags.FlagValues, arguments: Sequence[str]) -> list[str]:
    """Parse arguments, of which the first is the program's name.

    :return: the positional arguments without the program's name.
    :raises MisuseError: a flag is unknown or its value is invalid.
    """
    try:
        rest = values(list(arguments))
    except flags.Error as error:
        raise MisuseError(f"{error}; see {arguments[0]} --help") from error
    return rest[1:]


def report_misuse(error: MisuseError) -> int:
    """Print the message of a misuse to standard error.

    :return: the exit code for misuse.
    """
    print(error, file=sys.stderr)
    return EXIT_MISUSE
