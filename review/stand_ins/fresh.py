"""Clients that open a flow for each request."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from stand_ins.client import COPY_SECONDS
from stand_ins.packets import RANGE, RST, SYN, Packet, decode, encode
from stand_ins.record import Record, show
from stand_ins.streams import Stream

Address = tuple[str, int]


@dataclass
class Attempt:
    """One request on a flow of its own.

    :param sent_at: times at which its opening packet and the copies were sent.
    :param balancer: address that every packet of it is sent to.
    """

    request: str
    ends: tuple[str, int, str, int]
    service: Address
    balancer: str
    sent_at: list[float] = field(default_factory=list)
    stream: Stream | None = None
    offer: asyncio.Future[Packet] | None = None
    received: bytes = b""
    outcome: str = "silent"


class FreshClient(asyncio.DatagramProtocol):
    """Sends requests, each on a new flow from a new port.

    :param datagram_port: port of the balancers for packets of clients.
    """

    def __init__(
        self, *, address: str, datagram_port: int, record: Record, seed: int
    ) -> None:
        self.address = address
        self.datagram_port = datagram_port
        self.record = record
        self.random = random.Random(f"{seed}-{address}")
        self.ports = itertools.count(1_024)
        self.attempts: dict[tuple[str, int, str, int], Attempt] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a packet of one of the flows."""
        packet = decode(data)
        attempt = self.attempts.get(
            (packet.dst, packet.dport, packet.src, packet.sport)
        )
        if attempt is None:
            return
        is_offered = attempt.offer is not None and attempt.offer.done()
        if packet.flags & (SYN | RST) and not is_offered:
            attempt.offer.set_result(packet)
        elif attempt.stream is not None and not packet.flags & (SYN | RST):
            attempt.stream.handle(packet)

    async def request(
        self, service: Address, balancer: str, *, seconds: float
    ) -> Attempt:
        """Send one request and wait for its outcome."""
        ends = (self.address, next(self.ports), *service)
        attempt = self.attempts[ends] = Attempt(
            request=f"{self.random.getrandbits(64):016x}",
            ends=ends,
            service=service,
            balancer=balancer,
            offer=asyncio.get_running_loop().create_future(),
        )
        name = f"{attempt.request} on {show(ends)} through {balancer}"
        self.record.note(f"client opens a flow for {name}")
        try:
            async with asyncio.timeout(seconds):
                await self.exchange(attempt, ends)
        except TimeoutError:
            attempt.outcome = "given up"
        self.record.note(f"{name}: {attempt.outcome}")
        if attempt.stream is not None:
            attempt.stream.close()
        del self.attempts[ends]
        return attempt

    async def exchange(self, attempt: Attempt, ends: tuple[str, int, str, int]) -> None:
        """Open the flow, send the request and wait for the answer."""
        to = (attempt.balancer, self.datagram_port)

        def send(packet: Packet) -> None:
            self.transport.sendto(encode(packet), to)

        seq = self.random.randrange(RANGE)
        for copy, pause in enumerate(COPY_SECONDS):
            attempt.sent_at.append(self.record.now())
            send(Packet(*ends, flags=SYN, seq=seq, ack=copy))
            done, _ = await asyncio.wait([attempt.offer], timeout=pause)
            if done:
                break
        if not attempt.offer.done():
            attempt.outcome = "not opened"
            return
        offer = attempt.offer.result()
        if offer.flags & RST:
            attempt.outcome = "reset"
            return
        answered = asyncio.Event()

        def receive(data: bytes) -> None:
            attempt.received += data
            if is_whole(attempt.received):
                answered.set()

        attempt.stream = Stream(
            ends=ends,
            seq=(seq + 1) % RANGE,
            ack=(offer.seq + 1) % RANGE,
            send=send,
            receive=receive,
        )
        head = f"GET /status HTTP/1.1\r\nX-Attempt-Id: {attempt.request}\r\n\r\n"
        attempt.stream.write(head.encode())
        await answered.wait()
        attempt.outcome = "answered"
        attempt.stream.write(b"", finish=True)
        await asyncio.sleep(0.05)


def is_whole(received: bytes) -> bool:
    """Return True when an answer has arrived to its end."""
    head, end, body = received.partition(b"\r\n\r\n")
    return bool(end) and len(body) >= int(head.partition(b"Content-Length: ")[2])
