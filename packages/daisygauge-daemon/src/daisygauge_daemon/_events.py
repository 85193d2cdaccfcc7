"""Numbered events: what a daemon logs, one line of JSON each."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from typing import Any, TextIO

from msgspec import Struct

LIMITED_LINES_PER_SECOND = 5.0
LIMITED_LINES_BURST = 20.0


class Level(enum.IntEnum):
    """How much an event matters, in rising order."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class Event(Struct, kw_only=True, frozen=True):
    """One entry of the event catalogue.

    :param number: never reused for another meaning.
    :param name: lower-case words joined by hyphens.
    :param text: what happened and, for warnings and errors, what to do.
    :param fields: names of the fields that each line carries.
    :param limited: True for events that outsiders can cause at any rate.
    :param lines_per_second: lines that a limited event may write on average.
    :param burst: lines that a limited event may write at once.
    """

    number: int
    name: str
    level: Level
    text: str
    fields: tuple[str, ...] = ()
    limited: bool = False
    lines_per_second: float = LIMITED_LINES_PER_SECOND
    burst: float = LIMITED_LINES_BURST


class _Allowance(Struct, kw_only=True, frozen=True):
    """Lines that a limited event may still write.

    :param at: time of the last change, in seconds.
    :param suppressed: lines left out since the last one written.
    """

    lines: float
    at: float
    suppressed: int = 0


class EventLog:
    """Writes events of at least one level.

    :param level: events below it are left out.
    :param clock: time in seconds for the limit on events caused by outsiders.
    """

    def __init__(
        self,
        *,
        level: Level = Level.INFO,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.level = level
        self.clock = clock
        self.allowances: dict[int, _Allowance] = {}

    def write(self, event: Event, **fields: Any) -> None:
        """Log an event with its fields.

        :raises ValueError: the fields are not those of the catalogue.
        """
        if event.level < self.level:
            return
        if set(fields) != set(event.fields):
            raise ValueError(
                f"event {event.number} has the fields {event.fields}; "
                f"give these, not {tuple(fields)}"
            )
        if event.limited:
            suppressed = self.take_line(event)
            if suppressed is None:
                return
            fields["suppressed"] = suppressed
        self.emit(event, fields)

    def emit(self, event: Event, fields: dict[str, Any]) -> None:
        """Write one line at once."""
        emit_line(event, fields)

    def take_line(self, event: Event) -> int | None:
        """Use one line of a limited event's allowance.

        :return: how many lines were left out before it, or None when this one
            must be left out too.
        """
        now = self.clock()
        last = self.allowances.get(event.number)
        if last is None:
            last = _Allowance(lines=event.burst, at=now)
        refill = (now - last.at) * event.lines_per_second
        lines = min(event.burst, last.lines + refill)
        allowed = lines >= 1.0
        self.allowances[event.number] = _Allowance(
            lines=lines - allowed,
            at=now,
            suppressed=0 if allowed else last.suppressed + 1,
        )
        return last.suppressed if allowed else None


def emit_line(event: Event, fields: dict[str, Any]) -> None:
    """Hand one line to the destinations of this process."""
    # Imported late: a process that must serve at once logs afterwards.
    import eliot

    eliot.log_message(
        message_type=f"daisygauge:{event.name}",
        event=event.number,
        level=event.level.name.lower(),
        text=event.text,
        **fields,
    )


def write_events_to(file: TextIO) -> None:
    """Send every event of this process to a file, one line of JSON each."""
    import eliot

    eliot.to_file(file)


STARTED = Event(
    number=100,
    name="daemon-started",
    level=Level.INFO,
    text="The daemon listens on all its sockets.",
    fields=("role", "id", "region", "failure_domain", "incarnation"),
)
DRAINING = Event(
    number=101,
    name="daemon-draining",
    level=Level.INFO,
    text="The daemon reports not ready and finishes what it has begun.",
    fields=("role", "id"),
)
STOPPED = Event(
    number=102,
    name="daemon-stopped",
    level=Level.INFO,
    text="The daemon has finished and exits.",
    fields=("role", "id", "exit_code"),
)
TASK_FAILED = Event(
    number=103,
    name="task-failed",
    level=Level.ERROR,
    text="A task ended with an unexpected error; the daemon stops so that the "
    "platform replaces it. Report the error with its traceback.",
    fields=("task", "error", "traceback"),
)
CONFIGURATION_READY = Event(
    number=104,
    name="configuration-ready",
    level=Level.INFO,
    text="A first configuration is in force.",
    fields=("version", "services"),
)

PACKET_FAILED = Event(
    number=105,
    name="packet-failed",
    level=Level.ERROR,
    text="Handling a datagram ended with an unexpected error; it was dropped. Report "
    "the error with its traceback.",
    fields=("sender", "error", "traceback"),
    limited=True,
    lines_per_second=1.0,
    burst=10.0,
)

RUNTIME_EVENTS = (
    STARTED,
    DRAINING,
    STOPPED,
    TASK_FAILED,
    CONFIGURATION_READY,
    PACKET_FAILED,
)
