"""HTTP/3 connection of a caller, based on aioquic."""

from __future__ import annotations

import contextlib

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import NetworkAddress, QuicConnection

from ._control_stream import GoawayParser, is_server_unidirectional
from ._exchange import REQUEST_CANCELLED, Exchange, Exchanges, Headers
from ._protocol import SocketOwner, open_connection

STATELESS_RESET = "stateless reset"
RESET_TOKEN_BYTES = 16
MIN_RESET_BYTES = 21
_LONG_HEADER = 0x80


class AioquicConnection(SocketOwner, QuicConnectionProtocol):
    """Adapter of an aioquic connection to the caller's interface."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        self.exchanges = Exchanges()
        self.goaway = GoawayParser()
        self.http: H3Connection | None = None

    def datagram_received(self, data: bytes, addr: NetworkAddress) -> None:
        """Process a datagram; aioquic itself does not detect stateless resets."""
        if self.is_stateless_reset(data):
            self.abandon(STATELESS_RESET)
            return
        super().datagram_received(data, addr)

    def is_stateless_reset(self, data: bytes) -> bool:
        """Return whether a datagram ends with a known token (RFC 9000, 10.3.1)."""
        if len(data) < MIN_RESET_BYTES or data[0] & _LONG_HEADER:
            return False
        token = data[-RESET_TOKEN_BYTES:]
        peer_ids = [self._quic._peer_cid, *self._quic._peer_cid_available]
        return any(peer_id.stateless_reset_token == token for peer_id in peer_ids)

    def quic_event_received(self, event: events.QuicEvent) -> None:
        """Forward an event of the QUIC library to the exchanges."""
        match event:
            case events.ProtocolNegotiated():
                self.http = H3Connection(self._quic)
            case events.ConnectionTerminated():
                self.exchanges.close(
                    f"error {event.error_code:#x} {event.reason_phrase}".strip()
                )
            case events.StreamReset():
                self.exchanges.receive_reset(event.stream_id, event.error_code)
            case events.StreamDataReceived():
                if is_server_unidirectional(event.stream_id):
                    for stream_id in self.goaway.feed(event.stream_id, event.data):
                        self.exchanges.receive_goaway(stream_id)
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

    def abandon(self, reason: str) -> None:
        """Discard the connection without sending anything to the peer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._closed.set()
        self.exchanges.close(reason)
        self.release()


async def connect_aioquic(
    *, host: str, port: int, server_name: str, ca_path: str, idle_timeout_seconds: float
) -> AioquicConnection:
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
        lambda: AioquicConnection(QuicConnection(configuration=configuration)),
        host=host,
        port=port,
    )
