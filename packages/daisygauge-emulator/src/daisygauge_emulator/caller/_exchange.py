"""Requests in flight on one connection, independent of the library."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

REQUEST_REJECTED = 0x10B
"""H3_REQUEST_REJECTED (RFC 9114, 8.1): the server has not processed the request."""
REQUEST_CANCELLED = 0x10C
"""H3_REQUEST_CANCELLED (RFC 9114, 8.1)."""

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, kw_only=True)
class HeaderBlock:
    """The header section of an answer."""

    headers: Headers


@dataclass(frozen=True, kw_only=True)
class Data:
    """A part of an answer's body."""

    data: bytes


@dataclass(frozen=True)
class End:
    """The answer is complete."""


@dataclass(frozen=True, kw_only=True)
class Reset:
    """The peer reset the stream."""

    error_code: int


@dataclass(frozen=True, kw_only=True)
class Closed:
    """The connection ended before the answer was complete."""

    reason: str


StreamEvent = HeaderBlock | Data | End | Reset | Closed


class Exchange:
    """A request in flight and the events of its answer."""

    def __init__(self, stream_id: int) -> None:
        self.stream_id = stream_id
        self.events: asyncio.Queue[StreamEvent] = asyncio.Queue()


class Exchanges:
    """The open exchanges of a connection and the connection's state.

    :ivar open: open exchanges by their stream ID.
    :ivar leaving: set when the peer has sent GOAWAY.
    :ivar closed: set when the connection has ended, see ``closed_reason``.
    :ivar host: latest ``x-daisygauge-host``, None before the first.
    """

    def __init__(self) -> None:
        self.open: dict[int, Exchange] = {}
        self.leaving = asyncio.Event()
        self.closed = asyncio.Event()
        self.closed_reason = ""
        self.host: str | None = None

    @property
    def usable(self) -> bool:
        """Whether new requests may use the connection."""
        return not (self.leaving.is_set() or self.closed.is_set())

    def add(self, stream_id: int) -> Exchange:
        """Create the exchange of a stream."""
        exchange = Exchange(stream_id)
        self.open[stream_id] = exchange
        return exchange

    def receive(self, stream_id: int, event: StreamEvent) -> None:
        """Queue an event for its exchange; ignore events of unknown streams."""
        exchange = self.open.get(stream_id)
        if exchange is not None:
            exchange.events.put_nowait(event)

    def receive_headers(self, stream_id: int, headers: Headers, *, ended: bool) -> None:
        """Process the headers of an answer."""
        host = dict(headers).get(b"x-daisygauge-host")
        if host is not None:
            self.host = host.decode()
        self.receive(stream_id, HeaderBlock(headers=headers))
        if ended:
            self.receive(stream_id, End())

    def receive_data(self, stream_id: int, data: bytes, *, ended: bool) -> None:
        """Process a part of an answer's body."""
        if data:
            self.receive(stream_id, Data(data=data))
        if ended:
            self.receive(stream_id, End())

    def receive_reset(self, stream_id: int, error_code: int) -> None:
        """Process the reset of an answer's stream."""
        self.receive(stream_id, Reset(error_code=error_code))

    def receive_goaway(self, first_unprocessed: int) -> None:
        """Reject the exchanges that the server will not process (RFC 9114, 5.2)."""
        self.leaving.set()
        for stream_id in self.open:
            if stream_id >= first_unprocessed:
                self.receive(stream_id, Reset(error_code=REQUEST_REJECTED))

    def close(self, reason: str) -> None:
        """Record the end of the connection and end every open exchange."""
        if self.closed.is_set():
            return
        self.closed_reason = reason
        self.closed.set()
        for stream_id in self.open:
            self.receive(stream_id, Closed(reason=reason))


class Connection(Protocol):
    """Interface of the adapters of QUIC libraries."""

    exchanges: Exchanges

    def start(self, headers: Headers, body: bytes) -> Exchange:
        """Send a request."""

    def cancel(self, exchange: Exchange) -> None:
        """Ask the peer to stop sending the answer."""

    def close(self) -> None:
        """Close the connection."""

    def release(self) -> None:
        """Close the socket."""
