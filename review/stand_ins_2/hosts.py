"""Hosts: they end flows, run requests and register themselves in the store."""

from __future__ import annotations

import asyncio
import random
import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from .packets import ACK, FIN, RANGE, RST, SYN, End, Packet, bounce, decode, encode

FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
MOST_REPEATS = 8
REQUEST_ID = re.compile(rb"x-attempt-id: *([^\r]+)\r", re.IGNORECASE)


@dataclass(kw_only=True)
class HostFlow:
    """One flow at its host.

    :param sequence: the host's first sequence number.
    :param expected: the next sequence number expected from the client.
    :param sent: bytes that the host has sent.
    :param acknowledged: bytes of them that the client has acknowledged.
    """

    client: End
    service_end: End
    sequence: int
    expected: int
    is_open: bool = False
    received: bytes = b""
    sent: int = 0
    acknowledged: int = 0
    has_finished: bool = False
    client_finished: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)


class Host:
    """One incarnation of a host of a service.

    :param send: sends a packet to the agent beside the host.
    :param note: writes a line of the record.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        work_seconds: float,
        send: Callable[[bytes], None],
        note: Callable[[str], None],
    ) -> None:
        self.name = name
        self.service = service
        self.work_seconds = work_seconds
        self.send = send
        self.note = note
        self.rng = random.Random(name)
        self.born = time.time_ns() // 1_000_000
        self.flows: dict[tuple[End, End], HostFlow] = {}
        self.is_running = True
        self.is_draining = False
        self.openings: list[tuple[float, End]] = []
        self.runs: list[str] = []
        self.altered = 0

    def end(self) -> None:
        """End as a process does: nothing is received or sent any more."""
        self.is_running = False
        for flow in self.flows.values():
            _stop_timers(flow)
        self.flows.clear()

    def receive(self, raw: bytes) -> None:
        """Handle a packet that the agent delivers."""
        if not self.is_running:
            return
        packet = decode(raw)
        if not packet.is_intact:
            self.altered += 1
            self.note(f"{self.name} got a packet that its sender did not write so")
        key = (packet.src, packet.dst)
        if packet.has(SYN):
            self.accept(key, packet)
            return
        flow = self.flows.get(key)
        if flow is None or not self.is_chosen(flow, packet):
            self.send(bounce(raw))
            return
        self.handle(key, flow, packet)

    def accept(self, key: tuple[End, End], packet: Packet) -> None:
        """Answer an opening packet; a copy gets the same answer again."""
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = HostFlow(
                client=packet.src,
                service_end=packet.dst,
                sequence=self.rng.randrange(RANGE),
                expected=(packet.seq + 1) % RANGE,
            )
            now = asyncio.get_running_loop().time()
            self.openings.append((now, packet.src))
            self.note(f"{self.name} takes the opening packet of {packet.src}")
        if not flow.is_open:
            self.transmit(flow, flags=SYN | ACK, seq=flow.sequence)

    def is_chosen(self, flow: HostFlow, packet: Packet) -> bool:
        """Return True when a packet belongs to a flow that is open here."""
        if not flow.is_open:
            flow.is_open = packet.ack == (flow.sequence + 1) % RANGE
        return flow.is_open

    def handle(self, key: tuple[End, End], flow: HostFlow, packet: Packet) -> None:
        """Handle a packet of an open flow."""
        if packet.has(RST):
            _stop_timers(flow)
            del self.flows[key]
            return
        ahead = (packet.ack - flow.sequence - 1) % RANGE
        if flow.acknowledged < ahead <= flow.sent + 1:
            flow.acknowledged = ahead
        self.take_data(flow, packet)
        if packet.has(FIN):
            flow.client_finished = True
            flow.expected = (packet.seq + len(packet.data) + 1) % RANGE
            self.transmit(flow, flags=ACK)
            if not flow.has_finished:
                self.finish(flow)
        if flow.client_finished and flow.acknowledged > flow.sent:
            _stop_timers(flow)
            del self.flows[key]

    def take_data(self, flow: HostFlow, packet: Packet) -> None:
        """Take new data in order, acknowledge it, and run a request that is whole."""
        if not packet.data:
            return
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) % RANGE
            flow.received += packet.data
        self.transmit(flow, flags=ACK)
        while b"\r\n\r\n" in flow.received:
            request, _, flow.received = flow.received.partition(b"\r\n\r\n")
            self.run(flow, request + b"\r\n")

    def run(self, flow: HostFlow, request: bytes) -> None:
        """Run a request and answer it after its work time."""
        match = REQUEST_ID.search(request)
        name = match[1].decode() if match else "?"
        self.runs.append(name)
        self.note(f"{self.name} runs {name}")
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_seconds, lambda: self.respond(flow, name))

    def respond(self, flow: HostFlow, name: str) -> None:
        """Answer a request; a draining host closes the flow after it."""
        if not self.is_running:
            return
        body = f"{name} at {self.service}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Server-Signature: "
            + self.name.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )
        start = flow.sent
        flow.sent += len(answer)
        self.transmit_until_acknowledged(flow, start, answer, flags=ACK)
        if self.is_draining:
            self.finish(flow)

    def finish(self, flow: HostFlow) -> None:
        """Send a FIN after everything else."""
        flow.has_finished = True
        self.transmit_until_acknowledged(flow, flow.sent, b"", flags=ACK | FIN)

    def transmit_until_acknowledged(
        self, flow: HostFlow, start: int, data: bytes, *, flags: int, repeats: int = 0
    ) -> None:
        """Send data, and repeat it until the client has acknowledged it."""
        end = start + (len(data) or 1)
        if not self.is_running or flow.acknowledged >= end or repeats > MOST_REPEATS:
            return
        self.transmit(flow, flags=flags, seq=flow.sequence + 1 + start, data=data)
        pause = min(FIRST_REPEAT_SECONDS * 2**repeats, LONGEST_REPEAT_SECONDS)
        timer = asyncio.get_running_loop().call_later(
            pause,
            lambda: self.transmit_until_acknowledged(
                flow, start, data, flags=flags, repeats=repeats + 1
            ),
        )
        flow.timers = [t for t in flow.timers if not t.cancelled()][-8:] + [timer]

    def transmit(
        self, flow: HostFlow, *, flags: int, seq: int | None = None, data: bytes = b""
    ) -> None:
        """Send one packet to the client, by way of the agent."""
        if seq is None:
            seq = flow.sequence + 1 + flow.sent
        packet = Packet(
            src=flow.service_end,
            dst=flow.client,
            flags=flags,
            seq=seq,
            ack=flow.expected,
            data=data,
        )
        self.send(encode(packet))


def _stop_timers(flow: HostFlow) -> None:
    for timer in flow.timers:
        timer.cancel()
    flow.timers.clear()
