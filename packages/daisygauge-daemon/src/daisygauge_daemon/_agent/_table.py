"""The agent's connections, by connection ID and by first flight."""

from __future__ import annotations

from daisygauge_records import Endpoint

from ._connection import CallerConnection

ENDED_MEMORY_SECONDS = 10.0


class ConnectionTable:
    """Finds the connection of a packet.

    First flights carry an ID that the caller chose, so they are told apart by the
    caller's address as well.
    """

    def __init__(self) -> None:
        self.by_id: dict[bytes, CallerConnection] = {}
        self.by_flight: dict[tuple[Endpoint, bytes], CallerConnection] = {}
        self.ended_flights: dict[tuple[Endpoint, bytes], float] = {}

    def __len__(self) -> int:
        return len(self.by_flight)

    def add(
        self, connection: CallerConnection, *, flight: tuple[Endpoint, bytes]
    ) -> None:
        """Take in a connection that was just accepted."""
        self.by_flight[flight] = connection
        for connection_id in connection.quic.issued_ids:
            self.by_id[connection_id] = connection

    def remove(
        self,
        connection: CallerConnection,
        *,
        flight: tuple[Endpoint, bytes],
        now: float,
    ) -> None:
        """Forget a connection, but not at once that its first flight was served.

        :param now: Unix time in seconds.
        """
        for connection_id in connection.quic.issued_ids:
            self.by_id.pop(connection_id, None)
        self.by_flight.pop(flight, None)
        self.ended_flights[flight] = now + ENDED_MEMORY_SECONDS
        self._forget_ended(now=now)

    def has_ended(self, flight: tuple[Endpoint, bytes], *, now: float) -> bool:
        """Tell whether a first flight is a late copy for an ended connection."""
        return self.ended_flights.get(flight, 0.0) > now

    def connections(self) -> tuple[CallerConnection, ...]:
        """Return every open connection."""
        return tuple(self.by_flight.values())

    def _forget_ended(self, *, now: float) -> None:
        # Entries are in order of their expiry.
        while self.ended_flights:
            flight = next(iter(self.ended_flights))
            if self.ended_flights[flight] > now:
                return
            del self.ended_flights[flight]
