"""First flights that wait until an agent has said what it did with them.

This is the only thing that a balancer remembers of a flow. It is bounded, lives
for a few hundred milliseconds, and losing it costs a caller one retransmission.
"""

from __future__ import annotations

from attrs import define, field

from daisygauge_records import Service, Upstream

ANSWER_SECONDS = 0.3
MAX_FLIGHTS = 4_096
MAX_PACKETS_PER_FLIGHT = 4


@define(kw_only=True)
class PendingFlight:
    """The packets of one first flight.

    :param key: service number and the connection ID that the caller chose.
    :param caller: address and port of the caller.
    :param candidates: agents still to be offered the flow, the present one first.
    :param sent: monotonic time in seconds of the last offer.
    """

    key: bytes
    service: Service
    caller: tuple[str, int]
    candidates: tuple[Upstream, ...]
    sent: float
    packets: list[bytes] = field(factory=list)

    @property
    def host(self) -> Upstream:
        """The agent that was offered the flow last."""
        return self.candidates[0]


class PendingFlights:
    """First flights in order of their last offer.

    :param max_flights: further flights are forwarded but not kept.
    """

    def __init__(self, *, max_flights: int = MAX_FLIGHTS) -> None:
        self.max_flights = max_flights
        self.flights: dict[bytes, PendingFlight] = {}

    def __len__(self) -> int:
        return len(self.flights)

    def find(self, key: bytes) -> PendingFlight | None:
        """Return the flight that a packet belongs to."""
        return self.flights.get(key)

    def add(self, flight: PendingFlight) -> bool:
        """Keep a flight.

        :return: False when too many are kept already.
        """
        if len(self.flights) >= self.max_flights:
            return False
        self.flights[flight.key] = flight
        return True

    def keep_packet(self, flight: PendingFlight, packet: bytes) -> None:
        """Keep one more packet of a flight, up to the limit."""
        if len(flight.packets) < MAX_PACKETS_PER_FLIGHT:
            flight.packets.append(packet)

    def remove(self, key: bytes) -> PendingFlight | None:
        """Forget a flight."""
        return self.flights.pop(key, None)

    def advance(self, flight: PendingFlight, *, now: float) -> bool:
        """Turn to the next candidate.

        :param now: monotonic time in seconds.
        :return: False when none is left; the flight is forgotten then.
        """
        self.flights.pop(flight.key, None)
        if len(flight.candidates) < 2:
            return False
        flight.candidates = flight.candidates[1:]
        flight.sent = now
        self.flights[flight.key] = flight
        return True

    def unanswered(self, *, now: float) -> tuple[PendingFlight, ...]:
        """Return the flights whose present candidate has been silent too long.

        :param now: monotonic time in seconds.
        """
        late = []
        for flight in self.flights.values():
            if now - flight.sent < ANSWER_SECONDS:
                break
            late.append(flight)
        return tuple(late)

    def clear(self) -> int:
        """Forget every flight.

        :return: how many there were.
        """
        count = len(self.flights)
        self.flights.clear()
        return count
