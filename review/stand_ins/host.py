"""A host: takes flows, runs requests in its slots, returns what it can't take."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, replace

from stand_ins.packets import (
    ACK,
    BOUNCED,
    FIN,
    RANGE,
    RST,
    SYN,
    Packet,
    decode,
    encode,
    is_intact,
)
from stand_ins.record import Record, describe
from stand_ins.streams import Stream, length_of

MAX_RETRIES = 8
RESPONSE_BYTES = 4_000


@dataclass
class HostFlow:
    """One flow at its host; ``stream`` is None until the flow is open."""

    seq: int
    stream: Stream | None = None
    buffer: bytes = b""
    has_ended: bool = False


class Host(asyncio.DatagramProtocol):
    """One start of a host.

    :param outbound: address of the daemon beside it.
    """

    def __init__(
        self,
        *,
        address: str,
        outbound: tuple[str, int],
        record: Record,
        slots: int,
        work_seconds: float,
        seed: int,
    ) -> None:
        self.address = address
        self.outbound = outbound
        self.record = record
        self.slots = slots
        self.work_seconds = work_seconds
        self.random = random.Random(f"{seed}-{address}")
        self.flows: dict[tuple[str, int, str, int], HostFlow] = {}
        self.running = 0
        self.queue: deque[tuple[HostFlow, str]] = deque()
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet."""
        packet = decode(data)
        self.record.note_arrival(self.address, packet)
        if not is_intact(packet) or packet.flags & BOUNCED:
            self.record.tampered.append(describe(packet))
            return
        flow = self.flows.get(packet.ends)
        if packet.flags & SYN:
            self.open(packet, flow)
        elif flow is None or not self.accepts(packet, flow):
            self.bounce(packet)
        elif packet.flags & RST:
            self.end(packet, flow, "reset by the client")
        elif flow.has_ended:
            self.answer_ended(packet)
        else:
            flow.stream.handle(packet)

    def open(self, packet: Packet, flow: HostFlow | None) -> None:
        """Answer an opening packet."""
        if flow is None:
            flow = HostFlow(seq=self.random.randrange(RANGE))
            self.flows[packet.ends] = flow
            self.record.note_opening(self.address, packet)
        if flow.stream is None:
            ends = reverse(packet.ends)
            ack = (packet.seq + 1) % RANGE
            self.send(Packet(*ends, flags=SYN | ACK, seq=flow.seq, ack=ack))

    def accepts(self, packet: Packet, flow: HostFlow) -> bool:
        """Return True when a packet belongs to a flow that is or becomes open."""
        if flow.stream is not None:
            return True
        if packet.ack != (flow.seq + 1) % RANGE:
            return False
        flow.stream = Stream(
            ends=reverse(packet.ends),
            seq=(flow.seq + 1) % RANGE,
            ack=packet.seq,
            send=self.send,
            receive=lambda data: self.receive(packet.ends, flow, data),
            give_up=lambda: self.end(packet, flow, "given up by the host"),
            max_retries=MAX_RETRIES,
        )
        self.record.note_open(self.address, packet.ends)
        return True

    def receive(
        self, ends: tuple[str, int, str, int], flow: HostFlow, data: bytes
    ) -> None:
        """Take bytes of a client; run the requests that are complete."""
        if not data:
            flow.stream.write(b"", finish=True)
            flow.has_ended = True
            self.record.note_end(ends, "closed by the client")
            return
        flow.buffer += data
        while b"\r\n\r\n" in flow.buffer:
            head, _, flow.buffer = flow.buffer.partition(b"\r\n\r\n")
            request = head.partition(b"X-Attempt-Id: ")[2].partition(b"\r")[0].decode()
            self.queue.append((flow, request))
        self.start()

    def start(self) -> None:
        """Run queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            flow, request = self.queue.popleft()
            self.running += 1
            self.record.note_run(self.address, request)
            seconds = self.work_seconds * self.random.uniform(0.6, 1.4)
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, self.finish, flow, request)

    def finish(self, flow: HostFlow, request: str) -> None:
        """Answer a request."""
        self.running -= 1
        body = request.encode().ljust(RESPONSE_BYTES, b".")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Signature: {request}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        if not flow.has_ended:
            flow.stream.write(head.encode() + body)
        self.start()

    def end(self, packet: Packet, flow: HostFlow, reason: str) -> None:
        """Discard a flow."""
        flow.has_ended = True
        if flow.stream is not None:
            flow.stream.close()
        self.record.note_end(packet.ends, reason)

    def answer_ended(self, packet: Packet) -> None:
        """Answer a packet of a flow that has ended here."""
        ends = reverse(packet.ends)
        ack = (packet.seq + length_of(packet)) % RANGE
        if packet.flags & FIN:
            self.send(Packet(*ends, flags=ACK, seq=packet.ack, ack=ack))
        elif packet.data:
            self.send(Packet(*ends, flags=RST, seq=packet.ack, ack=ack))

    def bounce(self, packet: Packet) -> None:
        """Return a packet of a flow that isn't held here."""
        self.record.note(f"host {self.address} returns {describe(packet)}")
        self.send(replace(packet, flags=packet.flags | BOUNCED))

    def send(self, packet: Packet) -> None:
        """Send a packet to the daemon beside the host."""
        self.transport.sendto(encode(packet), self.outbound)


def reverse(ends: tuple[str, int, str, int]) -> tuple[str, int, str, int]:
    """Return the ends as the other side names them."""
    return ends[2], ends[3], ends[0], ends[1]
