"""Creation of connections for first flights, and their tasks."""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from daisygauge_records import Endpoint
from daisygauge_wire import (
    CONNECTION_ID_BYTES,
    STREAM_WINDOW_BYTES,
    Datagram,
    IssuedId,
    Route,
    RoutedConnection,
    derive_reset_token,
    encode_connection_id,
)

from .._settings import TlsSettings
from . import _events as events
from ._connection import CallerConnection
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._streams import RequestStream
from ._table import ConnectionTable

IDLE_TIMEOUT_SECONDS = 15.0
QUIC_DATAGRAM_BYTES = 1_350
"""Small enough that the inner header and the IP header fit an MTU of 1,500 bytes."""
CONNECTION_WINDOW_BYTES = 1024 * 1024

ServeRequest = Callable[
    [RequestStream, list[tuple[bytes, bytes]], str], Awaitable[None]
]


def create_quic_configuration(tls: TlsSettings) -> QuicConfiguration:
    """Build the configuration shared by all connections.

    0-RTT stays disabled, because early data can be replayed.

    :raises OSError: the certificate or key can't be read.
    """
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_BYTES,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_data=CONNECTION_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
        max_datagram_size=QUIC_DATAGRAM_BYTES,
    )
    configuration.load_cert_chain(tls.certificate, tls.private_key)
    return configuration


class Acceptor:
    """Creates and runs the caller connections of an agent.

    :param send_packet: sends a packet towards a caller.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        table: ConnectionTable,
        metrics: AgentMetrics,
        serve: ServeRequest,
        send_packet: Callable[..., None],
    ) -> None:
        self.node = node
        self.table = table
        self.metrics = metrics
        self.serve = serve
        self.send_packet = send_packet
        self.configuration = create_quic_configuration(node.settings.tls)

    def issue_id(self) -> IssuedId:
        """Issue a connection ID that routes packets to this agent."""
        key = self.node.newest_key()
        route = Route(
            agent=self.node.inner,
            service=self.node.service.number,
            incarnation=self.node.incarnation,
        )
        connection_id = encode_connection_id(route=route, key=key)
        token = derive_reset_token(connection_id, key=key)
        return IssuedId(connection_id=connection_id, reset_token=token)

    def accept(
        self, datagram: Datagram, flight_key: tuple[Endpoint, bytes]
    ) -> CallerConnection:
        """Open a connection and start its task."""
        quic = RoutedConnection(
            issue_id=self.issue_id,
            configuration=self.configuration,
            original_destination_connection_id=flight_key[1],
        )
        connection = CallerConnection(
            quic=quic, owner=self, caller=datagram.caller, address=datagram.address
        )
        self.table.add(connection, flight_key=flight_key)
        self.metrics.connections.set(len(self.table))
        self.node.runtime.spawn(
            self.run(connection, flight_key=flight_key),
            name=f"connection {datagram.caller}",
        )
        return connection

    async def run(
        self, connection: CallerConnection, *, flight_key: tuple[Endpoint, bytes]
    ) -> None:
        """Serve a connection and remove it at its end.

        An unexpected error ends this connection only, so that one caller's packets
        can't end the connections of others.
        """
        try:
            await connection.run()
        except Exception as error:
            connection.end_reason = "defect"
            self.node.log.write(
                events.CONNECTION_FAILED,
                caller=str(connection.caller),
                error=repr(error),
                traceback="".join(traceback.format_exception(error)),
            )
        finally:
            self.table.remove(connection, flight_key=flight_key, now=self.node.now())
            self.metrics.connections.set(len(self.table))
            self.node.log.write(
                events.CONNECTION_ENDED,
                caller=str(connection.caller),
                reason=connection.end_reason,
                cancelled_requests=len(connection.tasks),
            )

    def add_connection_id(self, connection_id: bytes, owner: CallerConnection) -> None:
        """Route packets with an ID to a connection."""
        self.table.by_id[connection_id] = owner

    def remove_connection_id(self, connection_id: bytes) -> None:
        """Stop routing packets with an ID."""
        self.table.by_id.pop(connection_id, None)

    def send_reply(self, packet: bytes, *, caller: Endpoint, via: Endpoint) -> None:
        """Send a packet towards a caller."""
        self.metrics.sent.inc()
        self.send_packet(packet, caller=caller, via=via)
