"""Packets of unknown flows at an agent: delivered to the upstream or returned."""

from __future__ import annotations

from collections.abc import Callable
from socket import inet_aton, inet_ntoa

from msgspec import Struct

from daisygauge_wire import (
    AbsentFrame,
    ForwardFrame,
    Frame,
    OwnerFrame,
    QueryFrame,
    SearchFrame,
    UnknownFlowFrame,
)

from . import _events as events
from ._candidates import service_tag
from ._flows import AgentFlow, FlowStage, FlowTable
from ._packet import PacketCodec, RelayedPacket, format_flow
from ._runtime import RelayRuntime
from ._searches import Searches
from ._upstream import Upstream

ABSENT_SECONDS = 1.0
"""How long the agent remembers that the upstream doesn't hold a flow."""
CLIENT_REPEAT_SECONDS = 0.2
"""Shortest time after which a client repeats a packet."""
MAX_TRACKED_FLOWS = 4_096
"""Limit on the tracked absent flows, and on the pending packets. Only a failure of the
whole system causes more."""


class PendingPacket(Struct, kw_only=True):
    """A packet of an unknown flow that was delivered to see if the upstream holds it.

    :param searcher: the agent that sent the query, or None when a balancer forwarded
        the packet to this agent.
    :param packet: the packet.
    :param delivered_at: monotonic time at which it was delivered.
    """

    balancer: bytes
    searcher: bytes | None
    packet: bytes
    delivered_at: float


class UnknownFlows:
    """Finds out whether the upstream holds a flow that this agent doesn't know.

    A restarted agent doesn't know which flows its upstream holds. The upstream accepts
    a packet of a flow that it holds and returns any other.

    :param deliver: sends a packet to the upstream.
    :param send: sends a frame to another instance.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        codec: PacketCodec,
        upstream: Upstream,
        flows: FlowTable[AgentFlow],
        searches: Searches,
        deliver: Callable[[bytes], None],
        send: Callable[[bytes, Frame], None],
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.upstream = upstream
        self.flows = flows
        self.searches = searches
        self.deliver = deliver
        self.send = send
        self.own_address = inet_aton(runtime.settings.host)
        self.pending: dict[bytes, PendingPacket] = {}
        self.absent_at: dict[bytes, float] = {}

    def receive(
        self,
        frame: ForwardFrame | SearchFrame | QueryFrame,
        packet: RelayedPacket,
        *,
        searcher: bytes | None,
        now: float,
    ) -> None:
        """Handle a packet of a flow that this agent doesn't hold."""
        if not self.upstream.belongs_to(frame.service):
            # The address now belongs to another service, whose upstream must not
            # receive the packet.
            if searcher is None:
                self.return_packet(
                    frame.balancer, frame.service, frame.packet, lost=False
                )
            return
        absent_at = self.absent_at.get(packet.flow, float("-inf"))
        is_absent = now - absent_at < ABSENT_SECONDS
        if self.upstream.knows_every_flow(now=now) or is_absent:
            # A flow that was offered here and opened elsewhere isn't lost.
            lost = packet.flow not in self.flows.entries
            if searcher is None:
                self.return_packet(
                    frame.balancer, frame.service, frame.packet, lost=lost
                )
            else:
                self.report_absent(packet.flow, searcher, now=now)
            return
        if self.is_delivered(packet.flow, frame.packet, now=now):
            return
        clear_if_full(self.pending)
        self.pending[packet.flow] = PendingPacket(
            balancer=frame.balancer,
            searcher=searcher,
            packet=frame.packet,
            delivered_at=now,
        )
        self.runtime.log.write(
            events.FLOW_TRIED,
            flow=format_flow(packet.flow),
            balancer=inet_ntoa(frame.balancer),
            carried=searcher is None,
        )
        self.deliver(frame.packet)

    def is_delivered(self, flow: bytes, data: bytes, *, now: float) -> bool:
        """Return True when the upstream has just got this very packet.

        Clients repeat a packet later than this; a query is repeated sooner.
        """
        pending = self.pending.get(flow)
        return (
            pending is not None
            and pending.packet == data
            and now - pending.delivered_at < CLIENT_REPEAT_SECONDS
        )

    def report_absent(self, flow: bytes, searcher: bytes, *, now: float) -> None:
        """Report to the searching agent that the upstream doesn't hold a flow."""
        if searcher == self.own_address:
            self.searches.record_absent(flow, self.own_address, now=now)
        else:
            self.send(searcher, AbsentFrame(flow=flow))

    def return_packet(
        self, balancer: bytes, service: int, data: bytes, *, lost: bool
    ) -> None:
        """Return a packet of a flow that this agent doesn't hold to its balancer.

        :param lost: True when the upstream no longer holds the flow.
        """
        self.runtime.counters.unknown_flows += 1
        frame = UnknownFlowFrame(
            balancer=balancer, service=service, packet=data, lost=lost
        )
        self.send(balancer, frame)

    def add_discovered(self, packet: RelayedPacket, *, now: float) -> AgentFlow:
        """Add an entry for an unknown flow that the upstream has sent a packet of."""
        pending = self.pending.pop(packet.flow, None)
        balancer = self.own_address if pending is None else pending.balancer
        # A client that several upstreams answer opens its flow at one of them.
        stage = FlowStage.OFFERED if packet.accepting else FlowStage.OPEN
        entry = AgentFlow(
            balancer=balancer, opening_at=now, last_packet_at=now, stage=stage
        )
        self.flows.add(packet.flow, entry, now=now)
        self.runtime.log.write(
            events.FLOW_CLAIMED,
            flow=format_flow(packet.flow),
            balancer=None if pending is None else inet_ntoa(balancer),
        )
        if pending is not None:
            self.report_owner(packet.flow, pending)
        return entry

    def report_owner(self, flow: bytes, pending: PendingPacket) -> None:
        """Report that the upstream holds a flow that was searched or forwarded."""
        if pending.searcher is None:
            self.send(pending.balancer, OwnerFrame(flow=flow))
        else:
            self.searches.report_owner(flow, pending.balancer, pending.searcher)

    def mark_open(self, key: bytes, flow: AgentFlow) -> None:
        """Mark a flow as open when the upstream sends more than its first answer.

        An upstream that repeats that answer to a late copy of the opening packet may
        have opened the flow long before this agent started.
        """
        if flow.stage not in (FlowStage.ASKED, FlowStage.OFFERED):
            return
        flow.stage = FlowStage.OPEN
        pending = self.pending.pop(key, None)
        if pending is not None:
            flow.balancer = pending.balancer
            self.report_owner(key, pending)

    def handle_returned(
        self, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Handle a packet that the upstream returned."""
        clear_if_full(self.absent_at)
        self.absent_at[packet.flow] = now
        pending = self.pending.pop(packet.flow, None)
        flow = self.flows.get(packet.flow)
        self.flows.drop(packet.flow)
        self.runtime.log.write(
            events.FLOW_RETURNED,
            flow=format_flow(packet.flow),
            was_known=flow is not None,
        )
        tag = service_tag(self.upstream.service)
        if flow is not None:
            self.upstream.record_lost_flow(flow, now=now)
            self.return_packet(flow.balancer, tag, self.codec.restore(data), lost=True)
        elif pending is None:
            return
        elif pending.searcher is None:
            self.return_packet(
                pending.balancer, tag, self.codec.restore(data), lost=True
            )
        else:
            self.report_absent(packet.flow, pending.searcher, now=now)


def clear_if_full(remembered: dict[bytes, object]) -> None:
    """Clear a table of flows that has reached ``MAX_TRACKED_FLOWS``."""
    if len(remembered) >= MAX_TRACKED_FLOWS:
        remembered.clear()
