"""Lookup of the agent's connections by connection ID and by first flight."""

from __future__ import annotations

from daisygauge_records import Endpoint

from ._connection import CallerConnection

ENDED_FLIGHT_TTL_SECONDS = 10.0
"""How long late copies of an ended connection's first flight are recognized."""


class ConnectionTable:
    """Finds the connection that a packet belongs to.

    A first flight carries a connection ID that the caller chose, and two callers may
    choose the same one. Its key therefore includes the caller's address.
    """

    def __init__(self) -> None:
        self.by_id: dict[bytes, CallerConnection] = {}
        self.by_flight: dict[tuple[Endpoint, bytes], CallerConnection] = {}
        self.ended_flights: dict[tuple[Endpoint, bytes], float] = {}

    def __len__(self) -> int:
        return len(self.by_flight)

    def add(
        self, connection: CallerConnection, *, flight_key: tuple[Endpoint, bytes]
    ) -> None:
        """Add a connection that was just accepted."""
        self.by_flight[flight_key] = connection
        for connection_id in connection.quic.issued_ids:
            self.by_id[connection_id] = connection

    def remove(
        self,
        connection: CallerConnection,
        *,
        flight_key: tuple[Endpoint, bytes],
        now: float,
    ) -> None:
        """Remove a connection, and record its first flight as ended.

        :param now: Unix time in seconds.
        """
        for connection_id in connection.quic.issued_ids:
            self.by_id.pop(connection_id, None)
        self.by_flight.pop(flight_key, None)
        self.ended_flights[flight_key] = now + ENDED_FLIGHT_TTL_SECONDS
        self._remove_expired_flights(now=now)

    def has_ended(self, flight_key: tuple[Endpoint, bytes], *, now: float) -> bool:
        """Return whether a first flight belongs to a connection that has ended."""
        return self.ended_flights.get(flight_key, 0.0) > now

    def connections(self) -> tuple[CallerConnection, ...]:
        """Return every open connection."""
        return tuple(self.by_flight.values())

    def _remove_expired_flights(self, *, now: float) -> None:
        # Entries are ordered by expiry.
        while self.ended_flights:
            flight_key = next(iter(self.ended_flights))
            if self.ended_flights[flight_key] > now:
                return
            del self.ended_flights[flight_key]
