"""Logging that never delays a packet.

Events are queued as they happen. A task formats some of them now and then, and
writes what standard output takes without waiting.
"""

from __future__ import annotations

import asyncio
import importlib
import io
import os
import stat
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from daisygauge_daemon import Event, EventLog, Level, emit_line, write_events_to

from . import _events as events

QUEUED_LINES = 4_000
"""About a second of the busiest process's lines, and 2 MB."""
FLUSH_SECONDS = 0.1
LINES_PER_FLUSH = 40
"""Formatting them takes a few milliseconds, which no packet may wait longer."""
PENDING_BYTES = 256 * 1024
"""Formatted lines that wait for a slow reader."""


class QueuedLog(EventLog):
    """An event log whose lines are written later.

    :param descriptor: file descriptor that lines are written to.
    :param delay_seconds: time after the start before the first line is written: a
        process that follows a failure serves first, and loads the logging library
        afterwards.
    :param wall: Unix time in seconds, for the lines.
    :ivar dropped: lines lost since the last line that told so.
    :ivar lost: lines lost since the start.
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
        self.dropped = 0
        self.lost = 0
        self.has_begun = False

    def emit(self, event: Event, fields: dict[str, Any]) -> None:
        """Queue one line."""
        if len(self.queue) >= QUEUED_LINES:
            self.dropped += 1
            self.lost += 1
            return
        fields["at"] = round(self.wall(), 4)
        self.queue.append((event, fields))

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        await asyncio.sleep(self.delay_seconds)
        # The import of the library takes longer than a packet may wait.
        await asyncio.to_thread(importlib.import_module, "eliot")
        self.begin()
        while True:
            self.flush()
            await asyncio.sleep(FLUSH_SECONDS)

    def begin(self) -> None:
        """Send the logging library's lines to the buffer."""
        self.has_begun = True
        write_events_to(self.buffer)
        mode = os.fstat(self.descriptor).st_mode
        if not stat.S_ISREG(mode):
            os.set_blocking(self.descriptor, False)

    def flush(self, *, lines: int = LINES_PER_FLUSH) -> None:
        """Format some lines and write what can be written at once."""
        if len(self.pending) < PENDING_BYTES:
            self.format_lines(lines)
        self.write_pending()

    def format_lines(self, lines: int) -> None:
        """Turn queued events into bytes."""
        if self.dropped:
            self.queue.appendleft((events.LINES_SUPPRESSED, {"lines": self.dropped}))
            self.dropped = 0
        for _ in range(min(lines, len(self.queue))):
            emit_line(*self.queue.popleft())
        text = self.buffer.getvalue()
        self.buffer.seek(0)
        self.buffer.truncate()
        self.pending += text.encode()

    def write_pending(self) -> None:
        """Write bytes as far as the reader takes them."""
        while self.pending:
            try:
                written = os.write(self.descriptor, self.pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to tell it.
                self.pending = b""
                return
            self.pending = self.pending[written:]

    def close(self) -> None:
        """Write what is left, as far as that can be done at once."""
        if not self.has_begun:
            self.begin()
        self.flush(lines=len(self.queue) + 1)
