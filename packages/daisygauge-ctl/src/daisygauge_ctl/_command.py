"""Definition and command-line parsing of a ``daisygaugectl`` command."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from absl import flags
from attrs import frozen

from daisygauge_daemon import new_flags, parse_flags

PROGRAM = "daisygaugectl"
EXIT_OK = 0
EXIT_PROBLEM = 1

Handler = Callable[[flags.FlagValues, Sequence[str]], int]


@frozen(kw_only=True)
class Command:
    """A command with its help, its flags and the function that runs it.

    :param summary: one line for the help of the program.
    :param arguments: the positional arguments, as the usage line shows them.
    :param description: help of the command, printed by ``--help``.
    :param define_flags: adds the flags of the command to the given values.
    :param handler: runs the command with its parsed flags and its positional
        arguments, and returns the exit code.
    """

    name: str
    summary: str
    arguments: str
    description: str
    define_flags: Callable[[flags.FlagValues], None]
    handler: Handler

    def make_flags(self) -> flags.FlagValues:
        """Create the flags of the command, with their default values."""
        values = new_flags()
        self.define_flags(values)
        return values

    def describe(self) -> str:
        """Return the help of the command: usage, description and flags."""
        usage = f"usage: {PROGRAM} {self.name} [FLAGS] {self.arguments}".rstrip()
        lines = [usage, "", self.description.strip(), "", "Flags:"]
        lines += [
            f"  --{flag.name}: {flag.help} (default: {flag.default_as_str})"
            for flag in sorted(self.list_flags(), key=lambda flag: flag.name)
        ]
        return "\n".join(lines)

    def list_flags(self) -> list[flags.Flag]:
        """Return the flags of the command without ``--help``."""
        values = self.make_flags()
        return [values[name] for name in values if name != "help"]

    def run(self, arguments: Sequence[str]) -> int:
        """Parse the flags and run the command, or print its help.

        :param arguments: name of the command, followed by its flags and arguments.
        :return: the exit code.
        :raises MisuseError: a flag or an argument is invalid.
        """
        values = self.make_flags()
        program = f"{PROGRAM} {arguments[0]}"
        positional = parse_flags(values, [program, *arguments[1:]])
        if values.help:
            print(self.describe())
            return EXIT_OK
        return self.handler(values, positional)
