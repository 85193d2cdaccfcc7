"""Rate limits of one daemon for control traffic and platform reads."""

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
"""Share of the burst that is reserved for changes; full copies can't use it."""
MAX_CHARGED_BYTES = 500_000.0
"""Largest size that one message counts against the rate limit."""


class ControlBudget:
    """Limits the control traffic of a daemon and the rate of its platform reads.

    Full copies for starting daemons are delayed first. Changes and heartbeats are
    delayed only once the whole budget is used up.

    :ivar sent_bytes: bytes sent to peers.
    :ivar received_bytes: bytes received from peers.
    :ivar waited_seconds: total time for which sending was delayed.
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

        :param size: size of the message on the stream in bytes.
        :param is_sync: True if the message is part of a full copy.
        """
        reserve = SYNC_RESERVE * CONTROL_BURST_BYTES if is_sync else 0.0
        amount = min(float(size), MAX_CHARGED_BYTES)
        while True:
            now = self.clock()
            seconds = self.bytes_bucket.wait_seconds(amount + reserve, now=now)
            if seconds <= 0.0 and self.bytes_bucket.try_take(amount, now=now):
                break
            self.waited_seconds += seconds
            await asyncio.sleep(seconds)
        self.sent_bytes += size

    async def wait_to_read(self) -> None:
        """Wait until the platform may be read again, and count the read."""
        while not self.reads_bucket.try_take(now=self.clock()):
            await asyncio.sleep(self.reads_bucket.wait_seconds(now=self.clock()))

    def record_received(self, size: int) -> None:
        """Count a message that was received from a peer."""
        self.received_bytes += size
