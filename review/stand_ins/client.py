"""Clients that keep flows open for many requests."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass

from stand_ins.packets import (
    RANGE,
    RESET_WINDOW,
    RST,
    SYN,
    Packet,
    decode,
    distance,
    encode,
    is_intact,
)
from stand_ins.record import Record, describe, show
from stand_ins.router import Router
from stand_ins.streams import Stream

COPY_SECONDS = (0.2, 0.4, 0.8)


@dataclass(frozen=True)
class Habit:
    """How a client uses its flows.

    :param time_limit: seconds after which it gives up on a request.
    :param pause: longest pause between requests.
    """

    time_limit: float
    pause: float


class Client(asyncio.DatagramProtocol):
    """Keeps one flow open and sends requests on it, one after another."""

    def __init__(
        self,
        *,
        address: str,
        service: tuple[str, int],
        router: Router,
        record: Record,
        habit: Habit,
        seed: int,
    ) -> None:
        self.address = address
        self.service = service
        self.router = router
        self.record = record
        self.habit = habit
        self.random = random.Random(f"{seed}-{address}")
        self.ports = itertools.count(1_024)
        self.ends = (address, 0, *service)
        self.stream: Stream | None = None
        self.offer: asyncio.Future[Packet] | None = None
        self.received = b""
        self.progress = asyncio.Event()
        self.transport: asyncio.DatagramTransport | None = None
        self.served = 0

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def send(self, packet: Packet) -> None:
        """Send a packet to the balancer that the router selects."""
        balancer = self.router.choose(packet.ends)
        self.record.note(f"client sends {describe(packet)} to {balancer[0]}")
        self.transport.sendto(encode(packet), balancer)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a packet of the client's present flow."""
        packet = decode(data)
        if (packet.dst, packet.dport, packet.src, packet.sport) != self.ends:
            return
        if packet.flags & RST:
            self.handle_reset(packet, addr[0])
        elif not is_intact(packet):
            self.record.tampered.append(describe(packet))
        elif packet.flags & SYN:
            if self.offer is not None and not self.offer.done():
                self.offer.set_result(packet)
        elif self.stream is not None:
            self.stream.handle(packet)

    def handle_reset(self, packet: Packet, sender: str) -> None:
        """Handle a reset of the present flow."""
        if self.stream is None:
            if self.offer is not None and not self.offer.done():
                self.offer.set_exception(ConnectionResetError())
            return
        if abs(distance(packet.seq, self.stream.ack)) > RESET_WINDOW:
            return
        source = "the system" if packet.sum == 0 else "a host"
        flow = self.record.flow(self.ends)
        flow.resets.append((self.record.now(), f"{source} through {sender}"))
        self.drop(f"reset by {source}")

    def drop(self, reason: str) -> None:
        """Forget the present flow."""
        self.record.note_end(self.ends, reason)
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        self.progress.set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        await asyncio.sleep(self.random.uniform(0.0, self.habit.pause))
        while True:
            if self.stream is None and not await self.open():
                continue
            if await self.ask():
                self.served += 1
                await asyncio.sleep(self.random.uniform(0.1, self.habit.pause))

    async def open(self) -> bool:
        """Open a flow and return whether it opened."""
        self.ends = (self.address, next(self.ports), *self.service)
        seq = self.random.randrange(RANGE)
        self.offer = asyncio.get_running_loop().create_future()
        for copy, seconds in enumerate(COPY_SECONDS):
            self.send(Packet(*self.ends, flags=SYN, seq=seq, ack=copy))
            done, _ = await asyncio.wait([self.offer], timeout=seconds)
            if done:
                break
        if not self.offer.done() or self.offer.exception() is not None:
            self.offer.cancel()
            await asyncio.sleep(0.1)
            return False
        self.stream = Stream(
            ends=self.ends,
            seq=(seq + 1) % RANGE,
            ack=(self.offer.result().seq + 1) % RANGE,
            send=self.send,
            receive=self.receive,
        )
        return True

    def receive(self, data: bytes) -> None:
        """Take bytes of an answer; a FIN ends the flow."""
        if not data:
            self.stream.write(b"", finish=True)
            self.drop("closed by the host")
            return
        self.received += data
        self.progress.set()

    async def ask(self) -> bool:
        """Send one request and return whether it was answered in time."""
        request = f"{self.random.getrandbits(64):016x}"
        head = f"GET /status HTTP/1.1\r\nX-Attempt-Id: {request}\r\n\r\n"
        self.received = b""
        self.record.note(f"client sends request {request} on {show(self.ends)}")
        self.stream.write(head.encode())
        try:
            async with asyncio.timeout(self.habit.time_limit):
                await self.read_answer(request)
        except TimeoutError:
            self.record.note(f"request {request} isn't answered in time")
            self.drop("given up by the client")
            return False
        return self.stream is not None

    async def read_answer(self, request: str) -> None:
        """Wait for the whole answer, or for the end of the flow."""
        while self.stream is not None and not self.is_answered(request):
            self.progress.clear()
            await self.progress.wait()

    def is_answered(self, request: str) -> bool:
        """Return True when the whole answer to a request has arrived."""
        head, end, body = self.received.partition(b"\r\n\r\n")
        if not end:
            return False
        size = int(head.partition(b"Content-Length: ")[2])
        if len(body) < size:
            return False
        self.record.note(f"request {request} is answered")
        if request.encode() not in head or not body.startswith(request.encode()):
            self.record.tampered.append(f"foreign answer to {request}")
        return True
