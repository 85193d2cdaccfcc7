"""The commands of ``daisygaugectl`` by name."""

from __future__ import annotations

from ._bench import BENCH
from ._check import CHECK
from ._command import PROGRAM, Command
from ._events import EVENTS
from ._explain import EXPLAIN
from ._status import STATUS

COMMANDS: dict[str, Command] = {
    command.name: command for command in (BENCH, CHECK, EVENTS, EXPLAIN, STATUS)
}


def describe_commands() -> str:
    """Return the help of the program, with a line for each command."""
    lines = [f"usage: {PROGRAM} COMMAND [FLAGS] [ARGUMENTS]", "", "Commands:"]
    lines += [f"  {name}: {command.summary}" for name, command in COMMANDS.items()]
    lines += [
        "",
        f"{PROGRAM} COMMAND --help describes a command. No command acts on a daemon:",
        "publish records and watch the fleet converge.",
        "",
        "Exit codes: 0 done, 1 a problem was found, 2 misuse.",
    ]
    return "\n".join(lines)
