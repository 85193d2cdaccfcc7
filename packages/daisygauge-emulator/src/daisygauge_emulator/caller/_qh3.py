"""HTTP/3 connection of a caller, based on qh3, an independent implementation."""

from __future__ import annotations

import contextlib

from qh3.asyncio.protocol import QuicConnectionProtocol
from qh3.h3.connection import H3_ALPN, H3Connection
from qh3.h3.events import (
    DataReceived,
    GoawayReceived,
    H3Event,
    HeadersReceived,
    StreamReset,
)
from qh3.quic import events
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.connection import QuicConnection

from ._exchange import REQUEST_CANCELLED, Exchange, Exchanges, Headers
from ._protocol import SocketOwner, open_connection


class Qh3Connection(SocketOwner, QuicConnectionProtocol):
    """Adapter of a qh3 connection to the caller's interface."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.exchanges = Exchanges()
        self.http: H3Connection | None = None

    def quic_event_received(self, event: events.QuicEvent) -> None:
        """Forward an event of the QUIC library to the exchanges."""
        match event:
            case events.ProtocolNegotiated():
                self.http = H3Connection(self._quic)
            case events.ConnectionTerminated():
                self.exchanges.close(
                    f"error {event.error_code:#x} {event.reason_phrase}".strip()
                )
        if self.http is not None:
            for http_event in self.http.handle_event(event):
                self.http_event_received(http_event)

    def http_event_received(self, event: H3Event) -> None:
        """Forward an HTTP event to its exchange."""
        match event:
            case HeadersReceived():
                self.exchanges.receive_headers(
                    event.stream_id, event.headers, ended=event.stream_ended
                )
            case DataReceived():
                self.exchanges.receive_data(
                    event.stream_id, event.data, ended=event.stream_ended
                )
            case StreamReset():
                self.exchanges.receive_reset(event.stream_id, event.error_code)
            case GoawayReceived():
                self.exchanges.receive_goaway(event.stream_id)

    def start(self, headers: Headers, body: bytes) -> Exchange:
        """Send a request.

        :raises ConnectionError: the connection has ended.
        """
        if self.http is None or self.exchanges.closed.is_set():
            raise ConnectionError("the connection has ended; open another")
        stream_id = self._quic.get_next_available_stream_id()
        exchange = self.exchanges.add(stream_id)
        self.http.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self.http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return exchange

    def cancel(self, exchange: Exchange) -> None:
        """Stop an answer unless it is already complete."""
        if self.exchanges.closed.is_set():
            return
        # The library raises ValueError for a stream that is complete.
        with contextlib.suppress(ValueError):
            self._quic.stop_stream(exchange.stream_id, REQUEST_CANCELLED)
        self.transmit()


async def connect_qh3(
    *, host: str, port: int, server_name: str, ca_path: str, idle_timeout_seconds: float
) -> Qh3Connection:
    """Open a connection and wait for its handshake.

    :raises ConnectionError: the handshake was refused.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        server_name=server_name,
        idle_timeout=idle_timeout_seconds,
    )
    configuration.load_verify_locations(cafile=ca_path)
    return await open_connection(
        lambda: Qh3Connection(QuicConnection(configuration=configuration)),
        host=host,
        port=port,
    )
