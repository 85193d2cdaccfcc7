"""Validation and dispatch of inner datagrams."""

from __future__ import annotations

from collections.abc import Callable

from attrs import evolve

from daisygauge_policy import TokenBucket
from daisygauge_records import Endpoint
from daisygauge_wire import (
    ANY_INCARNATION,
    Datagram,
    Kind,
    MalformedDatagramError,
    PacketHeader,
    PacketKind,
    PlacementStatus,
    decode_connection_id,
    decode_datagram,
    read_packet_header,
)

from . import _events as events
from ._first_flights import FirstFlightHandler
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._reset import RESETS_PER_SECOND, build_stateless_reset
from ._table import ConnectionTable


class Dispatcher:
    """Validates inner datagrams and passes each to the handler of its kind.

    The service and incarnation of a caller's packet are checked before the packet
    itself is parsed.

    :param listeners: handlers of all kinds but ``FORWARD``.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        table: ConnectionTable,
        first_flights: FirstFlightHandler,
        metrics: AgentMetrics,
        listeners: dict[Kind, Callable[[Datagram], None]],
    ) -> None:
        self.node = node
        self.table = table
        self.first_flights = first_flights
        self.metrics = metrics
        self.reset_limit = TokenBucket(
            rate=RESETS_PER_SECOND, burst=RESETS_PER_SECOND, now=node.now()
        )
        self.handlers: dict[Kind, Callable[[Datagram], None]] = {
            Kind.FORWARD: self.on_forward,
            **listeners,
        }
        self.packet_handlers: dict[
            PacketKind, Callable[[Datagram, PacketHeader], None]
        ] = {
            PacketKind.FIRST_FLIGHT: self.on_first_flight,
            PacketKind.OTHER_LONG: self.on_unknown_long,
            PacketKind.SHORT: self.on_unknown_short,
        }

    def on_datagram(self, data: bytes, sender: Endpoint) -> None:
        """Decode one inner datagram and pass it to its handler."""
        now = self.node.now()
        try:
            datagram = decode_datagram(data, keys=self.node.keys, now=now)
        except MalformedDatagramError as error:
            self.drop(sender, reason=error.reason)
            return
        handler = self.handlers.get(datagram.kind)
        if handler is None:
            self.drop(sender, reason="kind")
            return
        handler(datagram)

    def drop(self, sender: Endpoint, *, reason: str) -> None:
        """Count and log a datagram that is not handled."""
        self.metrics.dropped.labels(reason).inc()
        self.node.log.write(events.DATAGRAM_DROPPED, sender=str(sender), reason=reason)

    def on_forward(self, datagram: Datagram) -> None:
        """Pass a caller's packet to its connection, or handle an unknown one."""
        if datagram.service != self.node.service_number:
            self.refuse(datagram, status=PlacementStatus.WRONG_SERVICE)
            return
        if datagram.incarnation not in (ANY_INCARNATION, self.node.incarnation):
            self.refuse(datagram, status=PlacementStatus.WRONG_INCARNATION)
            return
        self.metrics.received.inc()
        self.node.last_balancer = datagram.sender
        header = read_packet_header(datagram.payload)
        if header is None:
            self.drop(datagram.sender, reason="packet")
            return
        connection = self.table.by_id.get(header.destination_id)
        if connection is not None:
            connection.receive(datagram.payload, caller=datagram.caller)
            return
        self.packet_handlers[header.kind](datagram, header)

    def refuse(self, datagram: Datagram, *, status: PlacementStatus) -> None:
        """Answer a packet for another service or another incarnation of this agent."""
        reason = status.name.lower()
        self.drop(datagram.sender, reason=reason)
        header = read_packet_header(datagram.payload)
        if header is None:
            return
        if header.kind is PacketKind.FIRST_FLIGHT:
            self.first_flights.report(datagram, header.destination_id, status=status)
        elif header.kind is PacketKind.SHORT:
            self.send_stateless_reset(datagram, header, reason=reason)

    def on_first_flight(self, datagram: Datagram, header: PacketHeader) -> None:
        """Handle a first flight; drop a late packet of an ended connection."""
        if self.decode_route(header) is not None:
            self.drop(datagram.sender, reason="ended-connection")
            return
        self.first_flights.receive(datagram, header)

    def on_unknown_long(self, datagram: Datagram, header: PacketHeader) -> None:
        """Drop a long-header packet of a connection that no longer exists."""
        self.drop(datagram.sender, reason="unknown-connection")

    def on_unknown_short(self, datagram: Datagram, header: PacketHeader) -> None:
        """Answer a short-header packet of an unknown connection with a reset."""
        self.send_stateless_reset(datagram, header, reason="unknown_connection")

    def decode_route(self, header: PacketHeader) -> object:
        """Return the route in a packet's connection ID, None if no agent issued it."""
        return decode_connection_id(
            header.destination_id, keys=self.node.keys, now=self.node.now()
        )

    def send_stateless_reset(
        self, datagram: Datagram, header: PacketHeader, *, reason: str
    ) -> None:
        """Send a stateless reset for an ID that names this agent's address.

        This agent holds the address now, so no other running agent can own the
        connection.
        """
        now = self.node.now()
        route = decode_connection_id(
            header.destination_id, keys=self.node.keys, now=now
        )
        if route is None or route.agent != self.node.inner:
            return
        key = self.node.keys.find(header.destination_id[0], now=now)
        packet = build_stateless_reset(
            connection_id=header.destination_id,
            key=key,
            packet_bytes=len(datagram.payload),
        )
        if packet is None or not self.reset_limit.try_take(now=now):
            return
        self.metrics.resets.inc()
        self.node.log.write(
            events.RESET_SENT, caller=str(datagram.caller), reason=reason
        )
        reply = evolve(
            datagram,
            kind=Kind.REPLY,
            sender=self.node.inner,
            incarnation=self.node.incarnation,
            candidates=(),
            payload=packet,
        )
        self.node.send(reply, receiver=datagram.sender)
