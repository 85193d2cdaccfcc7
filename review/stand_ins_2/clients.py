"""Clients with their flows, and the routers in front of the balancers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import zlib
from collections.abc import Callable

from .packets import ACK, FIN, RANGE, RST, SYN, End, Packet, decode, encode

COPY_PAUSES_SECONDS = (0.2, 0.4, 0.8)
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
CHECK_SECONDS = 0.5
MISSES_TO_LEAVE = 2


class Router:
    """Hashes flows over the balancers in rotation; only a lost one's flows move.

    :param send: sends a packet to a balancer.
    """

    def __init__(
        self,
        *,
        balancers: list[str],
        ready_port: int,
        send: Callable[[bytes, str], None],
    ) -> None:
        self.balancers = balancers
        self.ready_port = ready_port
        self.send = send
        self.misses = dict.fromkeys(balancers, 0)

    async def run(self) -> None:
        """Check the readiness of every balancer twice a second, until cancelled."""
        while True:
            answers = await asyncio.gather(*map(self.is_ready, self.balancers))
            for balancer, is_ready in zip(self.balancers, answers, strict=True):
                self.misses[balancer] = 0 if is_ready else self.misses[balancer] + 1
            await asyncio.sleep(CHECK_SECONDS)

    async def is_ready(self, balancer: str) -> bool:
        """Ask a balancer whether it is ready."""
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    balancer, self.ready_port
                )
                head = "GET /api/readiness HTTP/1.1\r\nConnection: close\r\n\r\n"
                writer.write(head.encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def choose(self, client: End, service: End) -> str:
        """Return the balancer that takes a flow's packets now."""
        used = [b for b in self.balancers if self.misses[b] < MISSES_TO_LEAVE]
        if 2 * len(used) < len(self.balancers):
            used = self.balancers
        name = f"{client}{service}"
        return max(used, key=lambda b: zlib.crc32(f"{b}/{name}".encode()))

    def forward(self, client: End, service: End, raw: bytes) -> None:
        """Forward a packet of a client."""
        self.send(raw, self.choose(client, service))


class ClientFlow:
    """One flow at its client.

    :ivar outcome: how the last step ended, as text.
    """

    def __init__(self, *, client: End, service: End, router: Router) -> None:
        self.client = client
        self.service = service
        self.router = router
        self.rng = random.Random(f"{client}{service}")
        self.seq = self.rng.randrange(RANGE)
        self.sent_at: list[float] = []
        self.host_next: int | None = None
        self.received = b""
        self.waiting: dict[int, bytes] = {}
        self.acknowledged = 0
        self.is_reset = False
        self.is_closed = False
        self.changed = asyncio.Event()

    def receive(self, packet: Packet) -> None:
        """Handle a packet that arrives for this flow."""
        if packet.has(RST):
            self.is_reset = True
        elif packet.has(SYN):
            if self.host_next is None:
                self.host_next = (packet.seq + 1) % RANGE
        elif self.host_next is not None:
            self.acknowledged = packet.ack
            self.take(packet)
        self.changed.set()

    def take(self, packet: Packet) -> None:
        """Take data in order and acknowledge it."""
        if packet.data:
            self.waiting[packet.seq] = packet.data
        while self.host_next in self.waiting:
            data = self.waiting.pop(self.host_next)
            self.received += data
            self.host_next = (self.host_next + len(data)) % RANGE
        if packet.has(FIN) and packet.seq + len(packet.data) == self.host_next:
            self.host_next = (self.host_next + 1) % RANGE
            self.is_closed = True
        if packet.data or packet.has(FIN):
            self.transmit(flags=ACK)

    async def wait(self, is_done: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition holds or the flow is reset."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while not is_done() and not self.is_reset and loop.time() < end:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), end - loop.time())
        return is_done()

    async def open(self) -> str:
        """Open the flow; return ``open``, ``reset`` or ``no answer``."""
        loop = asyncio.get_running_loop()
        for copy, pause in enumerate(COPY_PAUSES_SECONDS):
            self.sent_at.append(loop.time())
            self.transmit(flags=SYN, ack=copy)
            if await self.wait(lambda: self.host_next is not None, pause):
                self.seq = (self.seq + 1) % RANGE
                self.transmit(flags=ACK)
                return "open"
            if self.is_reset:
                return "reset"
        return "no answer"

    async def ask(self, name: str, *, seconds: float) -> str:
        """Send a request; return the outcome: ``answered`` or how it failed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        data = f"GET /{name} HTTP/1.1\r\nX-Attempt-Id: {name}\r\n\r\n".encode()
        self.received = b""
        expected = (self.seq + len(data)) % RANGE
        for repeat in itertools.count():
            if self.acknowledged != expected:
                self.transmit(flags=ACK, data=data)
            pause = min(FIRST_REPEAT_SECONDS * 2**repeat, LONGEST_REPEAT_SECONDS)
            if await self.wait(self.is_answered, min(pause, end - loop.time())):
                self.seq = expected
                is_own = f"\r\n\r\n{name} at ".encode() in self.received
                return "answered" if is_own else "wrong"
            if self.is_reset or loop.time() >= end:
                return "reset" if self.is_reset else "no answer"

    def is_answered(self) -> bool:
        """Return True when a whole answer has arrived."""
        head, found, body = self.received.partition(b"\r\n\r\n")
        if not found:
            return False
        return len(body) >= int(head.rpartition(b"Content-Length: ")[2])

    def close(self) -> None:
        """Send a FIN."""
        self.transmit(flags=ACK | FIN)

    def transmit(
        self, *, flags: int, ack: int | None = None, data: bytes = b""
    ) -> None:
        """Send one packet by way of the router."""
        packet = Packet(
            src=self.client,
            dst=self.service,
            flags=flags,
            seq=self.seq,
            ack=(self.host_next or 0) if ack is None else ack,
            data=data,
        )
        self.router.forward(self.client, self.service, encode(packet))


class Clients:
    """The flows of all clients by their address and port.

    :param on_reset: called with a flow that is reset, and the sender's address.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        router: Router,
        on_reset: Callable[[ClientFlow, str], None],
    ) -> None:
        self.on_reset = on_reset
        self.addresses = addresses
        self.router = router
        self.flows: dict[End, ClientFlow] = {}
        self.count = 0

    def receive(self, raw: bytes, sender: End) -> None:
        """Hand an arriving packet to its flow."""
        packet = decode(raw)
        flow = self.flows.get(packet.dst)
        if flow is None or flow.service != packet.src:
            return
        if packet.has(RST) and not flow.is_reset:
            self.on_reset(flow, sender[0])
        flow.receive(packet)

    def new_flow(self, service: End) -> ClientFlow:
        """Return a flow from a new port."""
        self.count += 1
        address = self.addresses[self.count % len(self.addresses)]
        client = (address, 20_000 + self.count)
        flow = ClientFlow(client=client, service=service, router=self.router)
        self.flows[client] = flow
        return flow
