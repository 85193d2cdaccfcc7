"""One end of an open flow: bytes in order, acknowledgements, retransmissions."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from stand_ins.packets import ACK, FIN, MAX_DATA, RANGE, Packet, distance

WINDOW = 16
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.6
DELAYED_ACK_SECONDS = 0.04


class Stream:
    """Sends and receives the bytes of one flow.

    :param ends: own address and port, then the peer's.
    :param send: sends a packet.
    :param receive: called with bytes in order; empty bytes stand for the peer's FIN.
    :param give_up: called after ``max_retries`` retransmissions.
    """

    def __init__(
        self,
        *,
        ends: tuple[str, int, str, int],
        seq: int,
        ack: int,
        send: Callable[[Packet], None],
        receive: Callable[[bytes], None],
        give_up: Callable[[], None] = lambda: None,
        max_retries: int = 10**6,
    ) -> None:
        self.ends = ends
        self.next_seq = seq
        self.ack = ack
        self.send = send
        self.receive = receive
        self.give_up = give_up
        self.max_retries = max_retries
        self.waiting: deque[Packet] = deque()
        self.flying: deque[Packet] = deque()
        self.early: dict[int, Packet] = {}
        self.retries = 0
        self.unacknowledged = 0
        self.timer: asyncio.TimerHandle | None = None
        self.ack_timer: asyncio.TimerHandle | None = None
        self.is_closed = False

    def write(self, data: bytes, *, finish: bool = False) -> None:
        """Send bytes, and a FIN with the last of them."""
        parts = [data[i : i + MAX_DATA] for i in range(0, len(data), MAX_DATA)] or [b""]
        for number, part in enumerate(parts):
            is_last = number == len(parts) - 1
            flags = ACK | (FIN if finish and is_last else 0)
            packet = Packet(*self.ends, flags=flags, seq=self.next_seq, data=part)
            self.next_seq = (self.next_seq + length_of(packet)) % RANGE
            self.waiting.append(packet)
        self.pump()

    def pump(self) -> None:
        """Send waiting packets while the window has room."""
        while self.waiting and len(self.flying) < WINDOW and not self.is_closed:
            packet = self.waiting.popleft()
            self.flying.append(packet)
            self.transmit(packet)
        if self.flying and self.timer is None:
            self.start_timer()

    def start_timer(self) -> None:
        """Start the timer of the next retransmission."""
        pause = min(FIRST_RETRY_SECONDS * 2**self.retries, MAX_RETRY_SECONDS)
        self.timer = asyncio.get_running_loop().call_later(pause, self.retransmit)

    def retransmit(self) -> None:
        """Send the oldest unacknowledged packet again."""
        self.timer = None
        if self.is_closed or not self.flying:
            return
        if self.retries >= self.max_retries:
            self.close()
            self.give_up()
            return
        self.retries += 1
        self.transmit(self.flying[0])
        self.start_timer()

    def transmit(self, packet: Packet) -> None:
        """Send a packet with the present acknowledgement."""
        self.send_with_ack(packet.flags, packet.seq, packet.data)

    def send_with_ack(self, flags: int, seq: int, data: bytes = b"") -> None:
        """Send one packet and stop the delayed acknowledgement."""
        self.unacknowledged = 0
        if self.ack_timer is not None:
            self.ack_timer.cancel()
            self.ack_timer = None
        self.send(Packet(*self.ends, flags=flags, seq=seq, ack=self.ack, data=data))

    def handle(self, packet: Packet) -> None:
        """Handle a packet of the peer."""
        if self.is_closed:
            return
        self.handle_ack(packet.ack)
        if not length_of(packet):
            return
        ahead = distance(packet.seq, self.ack)
        if ahead > 0:
            self.early[packet.seq] = packet
        if ahead != 0:
            self.acknowledge()
            return
        self.accept(packet)
        while self.ack in self.early:
            self.accept(self.early.pop(self.ack))
        self.unacknowledged += 1
        if self.unacknowledged >= 2 or packet.flags & FIN:
            self.acknowledge()
        elif self.ack_timer is None:
            loop = asyncio.get_running_loop()
            self.ack_timer = loop.call_later(DELAYED_ACK_SECONDS, self.acknowledge)

    def accept(self, packet: Packet) -> None:
        """Take the next packet in order."""
        self.ack = (self.ack + length_of(packet)) % RANGE
        if packet.data:
            self.receive(packet.data)
        if packet.flags & FIN:
            self.receive(b"")

    def handle_ack(self, ack: int) -> None:
        """Drop the packets that the peer has acknowledged."""
        before = len(self.flying)
        while self.flying and (
            distance(ack, self.flying[0].seq) >= length_of(self.flying[0])
        ):
            self.flying.popleft()
        if len(self.flying) == before:
            return
        self.retries = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pump()

    def acknowledge(self) -> None:
        """Send an acknowledgement without data."""
        if not self.is_closed:
            self.send_with_ack(ACK, self.next_unsent())

    def next_unsent(self) -> int:
        """Return the sequence number after the newest byte that was sent."""
        return self.waiting[0].seq if self.waiting else self.next_seq

    def close(self) -> None:
        """Stop all timers."""
        self.is_closed = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()


def length_of(packet: Packet) -> int:
    """Return the sequence numbers that a packet takes."""
    return len(packet.data) + bool(packet.flags & FIN)
