"""Budgets of one daemon for control traffic and platform reads."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from daisygauge_policy import TokenBucket

CONTROL_BYTES_PER_SECOND = 13_000.0
CONTROL_BURST_BYTES = 4_000_000.0
READS_PER_SECOND = 2.0
READS_BURST = 20.0
SYNC_RESERVE = 0.25
"""Share of the burst that full copies for others leave to changes."""
LONGEST_STEP_BYTES = 500_000.0


class ControlBudget:
    """Bounds what a daemon sends for control and how often it reads the platform.

    When the budget binds, full copies for newborn daemons wait first; changes
    and heartbeats wait only once nothing is left.

    :ivar sent_bytes: bytes sent to peers.
    :ivar received_bytes: bytes received from peers.
    :ivar waited_seconds: time for which sending was held back.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.bytes_bucket = TokenBucket(
            rate=CONTROL_BYTES_PER_SECOND, burst=CONTROL_BURST_BYTES, now=clock()
        )
        self.reads_bucket = TokenBucket(
            rate=READS_PER_SECOND, burst=READS_BURST, now=clock()
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        self.waited_seconds = 0.0

    async def wait_to_send(self, size: int, *, is_sync: bool) -> None:
        """Wait until a message may be sent, and count it.

        :param size: bytes on the stream.
        :param is_sync: True for part of a full copy.
        """
        reserve = SYNC_RESERVE * CONTROL_BURST_BYTES if is_sync else 0.0
        amount = min(float(size), LONGEST_STEP_BYTES)
        while True:
            now = self.clock()
            seconds = self.bytes_bucket.wait_seconds(amount + reserve, now=now)
            if seconds <= 0.0 and self.bytes_bucket.try_take(amount, now=now):
                break
            self.waited_seconds += seconds
            await asyncio.sleep(seconds)
        self.sent_bytes += size

    async def wait_to_read(self) -> None:
        """Wait until the platform may be read once more, and count it."""
        while not self.reads_bucket.try_take(now=self.clock()):
            await asyncio.sleep(self.reads_bucket.wait_seconds(now=self.clock()))

    def note_received(self, size: int) -> None:
        """Count a message from a peer."""
        self.received_bytes += size
