"""Logging that doesn't delay packets.

Events are queued as they happen. A task periodically formats some of them and writes
as much as standard output accepts without blocking.
"""

from __future__ import annotations

import asyncio
import importlib
import io
import os
import select
import stat
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from daisygauge_daemon import Event, EventLog, Level, emit_line, write_events_to

from . import _events as events

MAX_QUEUED_LINES = 4_000
"""About one second of the busiest process's lines, which take 2 MB."""
FLUSH_SECONDS = 0.05
LINES_PER_FLUSH = 20
"""Formatting this many takes a few milliseconds, the longest time that a packet may
wait."""
MAX_WRITE_BYTES = select.PIPE_BUF
"""Largest write of whole lines: a pipe takes it whole, and a collector with a small
buffer cuts no line."""
MAX_PENDING_BYTES = 256 * 1024
"""Limit on the formatted bytes that wait for a slow reader."""


class QueuedLog(EventLog):
    """An event log whose lines are written later.

    :param descriptor: file descriptor that lines are written to.
    :param delay_seconds: time after the start before the first line is written: a
        process that restarts after a failure serves first, and loads the logging
        library afterwards.
    :param clock: monotonic time in seconds.
    :param wall: Unix time in seconds, for the lines.
    :ivar unreported: lines dropped since the last line that reported a number.
    :ivar total_dropped: lines dropped since the start.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        delay_seconds: float = 0.0,
        level: Level = Level.INFO,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        super().__init__(level=level, clock=clock)
        self.descriptor = descriptor
        self.delay_seconds = delay_seconds
        self.wall = wall
        self.queue: deque[tuple[Event, dict[str, Any]]] = deque()
        self.buffer = io.StringIO()
        self.pending = b""
        self.unreported = 0
        self.total_dropped = 0
        self.is_started = False

    def emit(self, event: Event, fields: dict[str, Any]) -> None:
        """Queue one line, or drop it when the queue is full."""
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.unreported += 1
            self.total_dropped += 1
            return
        fields["at"] = round(self.wall(), 4)
        self.queue.append((event, fields))

    async def run(self) -> None:
        """Load the logging library, then write queued lines until cancelled."""
        await asyncio.sleep(self.delay_seconds)
        # Importing the library takes longer than a packet may wait.
        await asyncio.to_thread(importlib.import_module, "eliot")
        self.start()
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_SECONDS)

    def start(self) -> None:
        """Direct the logging library's output to the buffer."""
        self.is_started = True
        write_events_to(self.buffer)
        mode = os.fstat(self.descriptor).st_mode
        if not stat.S_ISREG(mode):
            os.set_blocking(self.descriptor, False)

    def flush(self, *, lines: int = LINES_PER_FLUSH) -> None:
        """Format some lines and write what can be written without blocking."""
        if len(self.pending) < MAX_PENDING_BYTES:
            self.format_lines(lines)
        self.write_pending()

    def format_lines(self, lines: int) -> None:
        """Format queued events into the pending bytes.

        :param lines: the most lines to format.
        """
        if self.unreported:
            self.queue.appendleft((events.LINES_SUPPRESSED, {"lines": self.unreported}))
            self.unreported = 0
        for _ in range(min(lines, len(self.queue))):
            emit_line(*self.queue.popleft())
        text = self.buffer.getvalue()
        self.buffer.seek(0)
        self.buffer.truncate()
        self.pending += text.encode()

    def write_pending(self) -> None:
        """Write pending bytes until the reader blocks."""
        while self.pending:
            try:
                written = os.write(self.descriptor, take_lines(self.pending))
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; there is no other place to report it.
                self.pending = b""
                return
            self.pending = self.pending[written:]

    def close(self) -> None:
        """Write the remaining lines as far as possible without blocking."""
        if not self.is_started:
            self.start()
        self.flush(lines=len(self.queue) + 1)


def take_lines(pending: bytes) -> bytes:
    """Return the first whole lines that fit into one write, or one longer line."""
    if len(pending) <= MAX_WRITE_BYTES:
        return pending
    end = pending.rfind(b"\n", 0, MAX_WRITE_BYTES)
    if end < 0:
        end = pending.find(b"\n")
    return pending[: end + 1] if end >= 0 else pending
