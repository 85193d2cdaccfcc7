"""What every command of ``daisygaugectl`` has."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from absl import flags
from attrs import frozen

from daisygauge_daemon import new_flags, parse_flags

PROGRAM = "daisygaugectl"
EXIT_OK = 0
EXIT_PROBLEM = 1

Work = Callable[[flags.FlagValues, Sequence[str]], int]


@frozen(kw_only=True)
class Command:
    """One command.

    :param arguments: its positional arguments, as the usage line shows them.
    :param text: what it does, for ``--help``.
    :param define: adds its flags.
    :param work: does it and returns the exit code.
    """

    name: str
    summary: str
    arguments: str
    text: str
    define: Callable[[flags.FlagValues], None]
    work: Work

    def make_flags(self) -> flags.FlagValues:
        """Create the command's flags."""
        values = new_flags()
        self.define(values)
        return values

    def describe(self) -> str:
        """Return the command's help."""
        usage = f"usage: {PROGRAM} {self.name} [FLAGS] {self.arguments}".rstrip()
        lines = [usage, "", self.text.strip(), "", "Flags:"]
        lines += [
            f"  --{flag.name}: {flag.help} (default: {flag.default_as_str})"
            for flag in sorted(self.own_flags(), key=lambda flag: flag.name)
        ]
        return "\n".join(lines)

    def own_flags(self) -> list[flags.Flag]:
        """Return the flags that the command defines."""
        values = self.make_flags()
        return [values[name] for name in values if name != "help"]

    def run(self, arguments: Sequence[str]) -> int:
        """Run the command.

        :param arguments: the command line from the command's name on.
        :return: the exit code.
        :raises MisuseError: flags or arguments can't be used.
        """
        values = self.make_flags()
        program = f"{PROGRAM} {arguments[0]}"
        rest = parse_flags(values, [program, *arguments[1:]])
        if values.help:
            print(self.describe())
            return EXIT_OK
        return self.work(values, rest)
