"""Command lines on absl.flags with one exit code for misuse."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl import flags

EXIT_MISUSE = 2


class MisuseError(Exception):
    """A command line that can't be run; the message names the remedy."""


def new_flags() -> flags.FlagValues:
    """Create flags with ``--help``."""
    values = flags.FlagValues()
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=values)
    return values


def parse_flags(values: flags.FlagValues, arguments: Sequence[str]) -> list[str]:
    """Parse arguments, of which the first is the program's name.

    :return: the arguments that are no flags, without the program's name.
    :raises MisuseError: an unknown flag or an unusable value.
    """
    try:
        rest = values(list(arguments))
    except flags.Error as error:
        raise MisuseError(f"{error}; see {arguments[0]} --help") from error
    return rest[1:]


def report_misuse(error: MisuseError) -> int:
    """Print what is wrong.

    :return: the exit code for it.
    """
    print(error, file=sys.stderr)
    return EXIT_MISUSE
