"""Entry point of ``daisygaugectl``."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from daisygauge_daemon import EXIT_MISUSE, MisuseError

from ._command import EXIT_OK
from ._commands import COMMANDS, describe_commands


def run_command(arguments: Sequence[str]) -> int:
    """Run the command that a command line names; report misuse on standard error.

    :param arguments: the command line, starting with the name of the program.
    :return: the exit code.
    """
    program, *rest = arguments
    if not rest or rest[0] in ("--help", "-h", "help"):
        print(describe_commands())
        return EXIT_OK if rest else EXIT_MISUSE
    command = COMMANDS.get(rest[0])
    try:
        if command is None:
            raise MisuseError(
                f"unknown command {rest[0]!r}; use one of: {', '.join(COMMANDS)}"
            )
        return command.run(rest)
    except MisuseError as error:
        print(error, file=sys.stderr)
        return EXIT_MISUSE


def run() -> None:
    """Run the command of this process's command line and exit with its code."""
    raise SystemExit(run_command(sys.argv))
