"""Soak clients that send packets the way the platform's clients do."""

from __future__ import annotations

import asyncio
import time

from relay.network import pack_endpoint, pack_packet

from daisygauge_platform._packets import ACK, FIN, HEADER, RST, SYN

OPENING_INTERVALS_SECONDS = (0.2, 0.4, 0.8)
"""Seconds to wait after each opening packet; after the last one the attempt fails."""
REQUEST_INTERVALS_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
"""Seconds to wait after each packet of a request; then the client gives up."""


class SoakFlow:
    """The client's side of one flow.

    :ivar host_sequence: initial sequence number of the chosen host, or None.
    :ivar is_reset: True once a reset was received.
    """

    def __init__(self, *, client_endpoint, service_endpoint, fabric):
        self.client_endpoint = client_endpoint
        self.service_endpoint = service_endpoint
        self.fabric = fabric
        self.host_sequence = None
        self.is_reset = False
        self.answers = {}
        self.packet_received = asyncio.Event()
        self.sequence = 1

    def receive(self, data):
        seq, _, length, flags, *_ = HEADER.unpack_from(data)
        if flags & RST:
            self.is_reset = True
        elif flags & SYN:
            if self.host_sequence is None:
                self.host_sequence = seq
        elif length:
            self.answers[seq] = data[HEADER.size :]
        self.packet_received.set()

    async def wait(self, condition, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            self.packet_received.clear()
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                return False
            try:
                await asyncio.wait_for(self.packet_received.wait(), remaining)
            except TimeoutError:
                return condition()
        return True

    async def open(self):
        """Open the flow and return True if a host accepted it."""
        for copy, pause in enumerate(OPENING_INTERVALS_SECONDS):
            self.send(flags=SYN, acknowledged=copy)
            if await self.wait(
                lambda: self.is_reset or self.host_sequence is not None, pause
            ):
                break
        return not self.is_reset and self.host_sequence is not None

    async def send_request(self, body):
        """Send a request, repeating it until answered; return the answer or None."""
        sequence = self.sequence
        self.sequence += len(body)
        for pause in REQUEST_INTERVALS_SECONDS:
            self.send(flags=ACK, sequence=sequence, body=body)
            if await self.wait(
                lambda: self.is_reset or sequence in self.answers, pause
            ):
                break
        return self.answers.get(sequence)

    def close(self):
        self.send(flags=FIN | ACK, sequence=self.sequence)

    def send(self, *, flags, sequence=0, acknowledged=None, body=b""):
        if acknowledged is None:
            acknowledged = self.host_sequence + 1
        data = pack_packet(
            self.client_endpoint, self.service_endpoint, flags=flags, sequence=sequence,
            acknowledged=acknowledged, data=body,
        )  # fmt: skip
        self.fabric.forward(pack_endpoint(*self.client_endpoint), data)
