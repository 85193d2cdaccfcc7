"""The balancer and agent daemons."""

from ._catalogue import all_events
from ._command_line import EXIT_MISUSE, MisuseError, new_flags, parse_flags
from ._events import Event, Level

__all__ = [
    "EXIT_MISUSE",
    "Event",
    "Level",
    "MisuseError",
    "all_events",
    "new_flags",
    "parse_flags",
]
