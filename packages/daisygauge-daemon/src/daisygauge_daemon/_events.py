"""Numbered events and the log that writes them as lines of JSON."""

from __future__ import annotations

import enum
import time
from collections.abc import Callable
from typing import Any, TextIO

from msgspec import Struct

LIMITED_LINES_PER_SECOND = 5.0
LIMITED_LINES_BURST = 20.0


class Level(enum.IntEnum):
    """Severity of an event, in ascending order."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class Event(Struct, kw_only=True, frozen=True):
    """One entry of the event catalogue.

    :param number: unique number, never reused for another meaning.
    :param name: lower-case words joined by hyphens.
    :param text: what happened and, for warnings and errors, what to do.
    :param fields: names of the fields that each line carries.
    :param limited: True for events that external traffic can cause at any rate;
        the rate of their lines is limited.
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


class _TokenBucket(Struct, kw_only=True, frozen=True):
    """Rate limiter of one limited event; each line consumes a token.

    :param tokens: lines that may be written now.
    :param updated_at: time of the last change, in seconds.
    :param suppressed: lines left out since the last one written.
    """

    tokens: float
    updated_at: float
    suppressed: int = 0


class EventLog:
    """Writes the events that reach a level.

    :param level: events below it are left out.
    :param clock: returns the time in seconds, for the rate limit.
    """

    def __init__(
        self,
        *,
        level: Level = Level.INFO,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.level = level
        self.clock = clock
        self.buckets: dict[int, _TokenBucket] = {}

    def write(self, event: Event, **fields: Any) -> None:
        """Log an event with its fields.

        :raises ValueError: the fields differ from those of the event.
        """
        if event.level < self.level:
            return
        if set(fields) != set(event.fields):
            raise ValueError(
                f"event {event.number} requires the fields {event.fields}, "
                f"got {tuple(fields)}"
            )
        if event.limited:
            suppressed = self.consume_token(event)
            if suppressed is None:
                return
            fields["suppressed"] = suppressed
        self.emit(event, fields)

    def emit(self, event: Event, fields: dict[str, Any]) -> None:
        """Write one line at once."""
        emit_line(event, fields)

    def consume_token(self, event: Event) -> int | None:
        """Consume one token of a limited event.

        :return: the number of lines left out before this one, or None when this
            one must be left out too.
        """
        now = self.clock()
        last = self.buckets.get(event.number)
        if last is None:
            last = _TokenBucket(tokens=event.burst, updated_at=now)
        refill = (now - last.updated_at) * event.lines_per_second
        tokens = min(event.burst, last.tokens + refill)
        allowed = tokens >= 1.0
        self.buckets[event.number] = _TokenBucket(
            tokens=tokens - allowed,
            updated_at=now,
            suppressed=0 if allowed else last.suppressed + 1,
        )
        return last.suppressed if allowed else None


def emit_line(event: Event, fields: dict[str, Any]) -> None:
    """Pass one line to the log destinations of this process."""
    # Imported on first use: a process that must serve at once writes its log later.
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
    text="The daemon reports not ready and finishes the work in progress.",
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
    text="The first configuration is in force.",
    fields=("version", "services"),
)

PACKET_FAILED = Event(
    number=105,
    name="packet-failed",
    level=Level.ERROR,
    text="Handling a datagram raised an unexpected error; the datagram was dropped. "
    "Report the error with its traceback.",
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
