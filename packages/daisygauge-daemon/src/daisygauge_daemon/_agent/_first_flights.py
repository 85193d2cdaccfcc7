"""Handling of first flights: accepted, passed on to a peer or refused."""

from __future__ import annotations

from collections.abc import Callable

from aioquic.buffer import Buffer
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from attrs import evolve

from daisygauge_policy import (
    AcceptFlight,
    FlightDecision,
    FlightReason,
    PassedFlights,
    PassFlight,
    RefuseFlight,
    make_flow_key,
)
from daisygauge_records import Endpoint
from daisygauge_wire import (
    ANY_INCARNATION,
    CONNECTION_ID_BYTES,
    MAX_HOPS,
    Datagram,
    Kind,
    PacketHeader,
    PlacementStatus,
)

from . import _events as events
from ._connection import CallerConnection
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._table import ConnectionTable

REFUSAL_STATUSES = {
    FlightReason.LEAVING: PlacementStatus.LEAVING,
    FlightReason.FULL: PlacementStatus.FULL,
}
VERSION_NEGOTIATION = QuicPacketType.VERSION_NEGOTIATION

FlightKey = tuple[Endpoint, bytes]


class FirstFlightHandler:
    """Accepts, passes on and refuses new connections.

    :param accept: opens a connection for a first flight.
    :param choose: decides what to do with a new first flight.
    :ivar passed: decisions about flights that were passed on, for their later packets.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        table: ConnectionTable,
        metrics: AgentMetrics,
        accept: Callable[[Datagram, FlightKey], CallerConnection],
        choose: Callable[[Datagram], FlightDecision],
    ) -> None:
        self.node = node
        self.table = table
        self.metrics = metrics
        self.accept = accept
        self.choose = choose
        self.passed = PassedFlights()

    def receive(self, datagram: Datagram, header: PacketHeader) -> None:
        """Handle an Initial or 0-RTT packet with an ID that the caller chose."""
        flight_key = (datagram.caller, header.destination_id)
        now = self.node.now()
        connection = self.table.by_flight.get(flight_key)
        if connection is not None:
            connection.receive(datagram.payload, caller=datagram.caller)
            self.report(datagram, flight_key[1], status=PlacementStatus.ACCEPTED)
            return
        if self.table.has_ended(flight_key, now=now):
            self.report(datagram, flight_key[1], status=PlacementStatus.ACCEPTED)
            return
        passed = self.passed.find(make_passed_key(flight_key), now=now)
        if passed is not None and datagram.hops < MAX_HOPS:
            self.pass_on(datagram, flight_key, decision=passed)
            return
        if self.may_open_connection(datagram):
            self.place(datagram, flight_key)
        else:
            # Without an answer the balancer would consider this host dead.
            self.report(datagram, flight_key[1], status=PlacementStatus.IGNORED)

    def may_open_connection(self, datagram: Datagram) -> bool:
        """Return whether a packet may open a connection.

        A packet of an unsupported version is answered with a version negotiation.
        """
        packet = datagram.payload
        if len(packet) < SMALLEST_MAX_DATAGRAM_SIZE:
            return False
        try:
            header = pull_quic_header(
                Buffer(data=packet), host_cid_length=CONNECTION_ID_BYTES
            )
        except ValueError:
            return False
        if header.packet_type == VERSION_NEGOTIATION:
            return False
        if header.version not in self.node.supported_versions:
            self.negotiate_version(
                datagram, source_id=header.destination_cid, target_id=header.source_cid
            )
            return False
        return header.packet_type == QuicPacketType.INITIAL

    def negotiate_version(
        self, datagram: Datagram, *, source_id: bytes, target_id: bytes
    ) -> None:
        """Send the caller the supported versions (RFC 9000, 6.1)."""
        packet = encode_quic_version_negotiation(
            source_cid=source_id,
            destination_cid=target_id,
            supported_versions=list(self.node.supported_versions),
        )
        reply = evolve(
            datagram,
            kind=Kind.REPLY,
            sender=self.node.inner,
            candidates=(),
            payload=packet,
        )
        self.node.send(reply, receiver=datagram.sender)

    def place(self, datagram: Datagram, flight_key: FlightKey) -> None:
        """Accept, pass on or refuse a new connection."""
        match self.choose(datagram):
            case AcceptFlight():
                connection = self.accept(datagram, flight_key)
                connection.receive(datagram.payload, caller=datagram.caller)
                self.count("accepted")
                self.report(datagram, flight_key[1], status=PlacementStatus.ACCEPTED)
                self.node.log.write(
                    events.FLIGHT_ACCEPTED,
                    caller=str(datagram.caller),
                    hops=datagram.hops,
                    connections=len(self.table),
                )
            case PassFlight() as decision:
                self.passed.record(
                    make_passed_key(flight_key), decision=decision, now=self.node.now()
                )
                self.count("passed-on")
                self.node.log.write(
                    events.FLIGHT_PASSED_ON,
                    caller=str(datagram.caller),
                    peer=str(decision.target),
                    reason=decision.reason.value,
                    hops=datagram.hops + 1,
                )
                self.pass_on(datagram, flight_key, decision=decision)
            case RefuseFlight(reason=reason):
                self.count(f"refused-{reason.value}")
                self.node.log.write(
                    events.FLIGHT_REFUSED,
                    caller=str(datagram.caller),
                    reason=reason.value,
                )
                status = REFUSAL_STATUSES[reason]
                self.report(datagram, flight_key[1], status=status)

    def count(self, outcome: str) -> None:
        """Count a decision."""
        self.metrics.flights.labels(outcome).inc()

    def pass_on(
        self, datagram: Datagram, flight_key: FlightKey, *, decision: PassFlight
    ) -> None:
        """Forward a first flight to a peer; the balancer remains its sender."""
        forwarded = evolve(
            datagram,
            hops=datagram.hops + 1,
            candidates=decision.candidates,
            incarnation=ANY_INCARNATION,
        )
        self.node.send(forwarded, receiver=decision.target)
        self.report(datagram, flight_key[1], status=PlacementStatus.PASSED_ON)

    def report(
        self, datagram: Datagram, caller_id: bytes, *, status: PlacementStatus
    ) -> None:
        """Report the result of a first flight to its balancer."""
        answer = Datagram(
            kind=Kind.PLACEMENT,
            service=datagram.service,
            incarnation=self.node.incarnation,
            status=status,
            hops=datagram.hops,
            caller=datagram.caller,
            address=datagram.address,
            sender=self.node.inner,
            payload=caller_id,
        )
        self.node.send(answer, receiver=datagram.sender)


def make_passed_key(flight_key: FlightKey) -> bytes:
    """Return the key of a first flight in ``PassedFlights``."""
    return make_flow_key(caller=flight_key[0], destination_id=flight_key[1])
