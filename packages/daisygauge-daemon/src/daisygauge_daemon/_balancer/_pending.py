"""First flights that wait for an agent's answer.

They are the only state that a balancer holds of a flow. Their number is bounded, an
entry lasts a few hundred milliseconds, and its loss costs the caller one
retransmission.
"""

from __future__ import annotations

from attrs import define, field

from daisygauge_records import Service, Upstream

ANSWER_TIMEOUT_SECONDS = 0.3
MAX_FLIGHTS = 4_096
MAX_PACKETS_PER_FLIGHT = 4


@define(kw_only=True)
class PendingFlight:
    """The packets of one first flight.

    :param key: service number and the connection ID that the caller chose.
    :param caller: address and port of the caller.
    :param candidates: remaining candidates, the current one first.
    :param offered_at: monotonic time in seconds of the first offer to the current
        candidate.
    """

    key: bytes
    service: Service
    caller: tuple[str, int]
    candidates: tuple[Upstream, ...]
    offered_at: float
    packets: list[bytes] = field(factory=list)

    @property
    def host(self) -> Upstream:
        """The current candidate."""
        return self.candidates[0]


class PendingFlights:
    """Pending first flights in order of ``offered_at``.

    :param max_flights: number of flights to keep; further ones are sent to their
        first candidate but not kept.
    """

    def __init__(self, *, max_flights: int = MAX_FLIGHTS) -> None:
        self.max_flights = max_flights
        self.flights: dict[bytes, PendingFlight] = {}

    def __len__(self) -> int:
        return len(self.flights)

    def find(self, key: bytes) -> PendingFlight | None:
        """Return the flight with a key, or None."""
        return self.flights.get(key)

    def add(self, flight: PendingFlight) -> bool:
        """Keep a flight.

        :return: False when ``max_flights`` are kept already.
        """
        if len(self.flights) >= self.max_flights:
            return False
        self.flights[flight.key] = flight
        return True

    def keep_packet(self, flight: PendingFlight, packet: bytes) -> None:
        """Keep a packet of a flight, up to ``MAX_PACKETS_PER_FLIGHT``."""
        if len(flight.packets) < MAX_PACKETS_PER_FLIGHT:
            flight.packets.append(packet)

    def remove(self, key: bytes) -> PendingFlight | None:
        """Remove a flight."""
        return self.flights.pop(key, None)

    def advance(self, flight: PendingFlight, *, now: float) -> bool:
        """Move a flight to its next candidate.

        :param now: monotonic time in seconds.
        :return: False when none is left; the flight is then removed.
        """
        self.flights.pop(flight.key, None)
        if len(flight.candidates) < 2:
            return False
        flight.candidates = flight.candidates[1:]
        flight.offered_at = now
        self.flights[flight.key] = flight
        return True

    def unanswered(self, *, now: float) -> tuple[PendingFlight, ...]:
        """Return the flights without an answer for ``ANSWER_TIMEOUT_SECONDS``.

        :param now: monotonic time in seconds.
        """
        expired = []
        for flight in self.flights.values():
            if now - flight.offered_at < ANSWER_TIMEOUT_SECONDS:
                break
            expired.append(flight)
        return tuple(expired)

    def clear(self) -> int:
        """Remove every flight.

        :return: the number of removed flights.
        """
        count = len(self.flights)
        self.flights.clear()
        return count
