"""Clients of a soak, as the platform's requesters behave."""

from __future__ import annotations

import asyncio
import time

from relay.network import pack_end, pack_packet

from daisygauge_platform._packets import ACK, FIN, HEADER, RST, SYN

COPY_SECONDS = (0.2, 0.4, 0.8)
"""Pauses after each opening packet; then the attempt ends."""
REPEAT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
"""Pauses after each packet of a request; then the client gives up."""


class SoakFlow:
    """One flow from its client's end.

    :ivar host_sequence: the first number of the host chosen, or None.
    :ivar is_reset: True once a reset has come.
    """

    def __init__(self, *, end, service_end, fabric):
        self.end = end
        self.service_end = service_end
        self.fabric = fabric
        self.host_sequence = None
        self.is_reset = False
        self.answered = {}
        self.news = asyncio.Event()
        self.sequence = 1

    def receive(self, data):
        seq, _, length, flags, *_ = HEADER.unpack_from(data)
        if flags & RST:
            self.is_reset = True
        elif flags & SYN:
            if self.host_sequence is None:
                self.host_sequence = seq
        elif length:
            self.answered[seq] = data[HEADER.size :]
        self.news.set()

    async def wait(self, is_true, seconds):
        until = time.monotonic() + seconds
        while not is_true():
            self.news.clear()
            left = until - time.monotonic()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(self.news.wait(), left)
            except TimeoutError:
                return is_true()
        return True

    async def open(self):
        """Tell whether a host has taken the flow."""
        for copy, pause in enumerate(COPY_SECONDS):
            self.send(flags=SYN, acknowledged=copy)
            if await self.wait(
                lambda: self.is_reset or self.host_sequence is not None, pause
            ):
                break
        return not self.is_reset and self.host_sequence is not None

    async def ask(self, body):
        """Send a request and repeat its packet; returns the answer or None."""
        sequence = self.sequence
        self.sequence += len(body)
        for pause in REPEAT_SECONDS:
            self.send(flags=ACK, sequence=sequence, body=body)
            if await self.wait(
                lambda: self.is_reset or sequence in self.answered, pause
            ):
                break
        return self.answered.get(sequence)

    def close(self):
        self.send(flags=FIN | ACK, sequence=self.sequence)

    def send(self, *, flags, sequence=0, acknowledged=None, body=b""):
        if acknowledged is None:
            acknowledged = self.host_sequence + 1
        data = pack_packet(
            self.end, self.service_end, flags=flags, sequence=sequence,
            acknowledged=acknowledged, data=body,
        )  # fmt: skip
        self.fabric.carry(pack_end(*self.end), data)
