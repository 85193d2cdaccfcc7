"""Packets of flows that an agent doesn't know: told by its upstream or given back."""

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
from ._packet import PacketCodec, RelayedPacket, flow_name
from ._runtime import RelayRuntime
from ._searches import Searches
from ._upstream import Upstream

FOREIGN_SECONDS = 1.0
"""How long it is remembered that the upstream doesn't hold a flow."""
MAX_REMEMBERED = 4_096
"""Flows remembered as foreign or uncertain; more come only after everything died."""


class UncertainPacket(Struct, kw_only=True):
    """A packet that only the upstream can tell whether its flow is here.

    :param searcher: the agent that asked for it, or None when a balancer believes
        that the flow is here.
    """

    balancer: bytes
    searcher: bytes | None


class Strays:
    """Finds out whether the upstream holds a flow that this agent doesn't know.

    :param deliver: gives a packet to the upstream.
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
        self.own = inet_aton(runtime.settings.host)
        self.uncertain: dict[bytes, UncertainPacket] = {}
        self.foreign: dict[bytes, float] = {}

    def receive(
        self,
        frame: ForwardFrame | SearchFrame | QueryFrame,
        packet: RelayedPacket,
        *,
        searcher: bytes | None,
        now: float,
    ) -> None:
        """Handle a packet of a flow that isn't in the table."""
        if not self.upstream.is_of(frame.service):
            # Its upstream is another one by now; this one must not see the packet.
            if searcher is None:
                self.give_back(frame.balancer, frame.service, frame.packet, lost=False)
            return
        heard_foreign = self.foreign.get(packet.flow, float("-inf"))
        is_foreign = now - heard_foreign < FOREIGN_SECONDS
        if self.upstream.is_known(now=now) or is_foreign:
            # A flow that is offered here but was opened elsewhere isn't lost.
            lost = packet.flow not in self.flows.entries
            if searcher is None:
                self.give_back(frame.balancer, frame.service, frame.packet, lost=lost)
            else:
                self.report_absent(packet.flow, searcher, now=now)
            return
        trim(self.uncertain)
        self.uncertain[packet.flow] = UncertainPacket(
            balancer=frame.balancer, searcher=searcher
        )
        self.runtime.log.write(
            events.FLOW_TRIED,
            flow=flow_name(packet.flow),
            balancer=inet_ntoa(frame.balancer),
            carried=searcher is None,
        )
        self.deliver(frame.packet)

    def report_absent(self, flow: bytes, searcher: bytes, *, now: float) -> None:
        """Tell the agent that looks for a flow that the upstream doesn't hold it."""
        if searcher == self.own:
            self.searches.record_absent(flow, self.own, now=now)
        else:
            self.send(searcher, AbsentFrame(flow=flow))

    def give_back(
        self, balancer: bytes, service: int, data: bytes, *, lost: bool
    ) -> None:
        """Return a packet of a flow that isn't here.

        :param lost: True when the upstream doesn't hold the flow any more.
        """
        self.runtime.counters.strays += 1
        frame = UnknownFlowFrame(
            balancer=balancer, service=service, packet=data, lost=lost
        )
        self.send(balancer, frame)

    def discover(self, packet: RelayedPacket, *, now: float) -> AgentFlow:
        """Begin to know a flow that the upstream holds."""
        uncertain = self.uncertain.pop(packet.flow, None)
        balancer = self.own if uncertain is None else uncertain.balancer
        # A client that several upstreams answer opens its flow at one of them.
        stage = FlowStage.OFFERED if packet.accepting else FlowStage.OPEN
        entry = AgentFlow(balancer=balancer, began=now, seen=now, stage=stage)
        self.flows.add(packet.flow, entry, now=now)
        self.runtime.log.write(
            events.FLOW_CLAIMED,
            flow=flow_name(packet.flow),
            balancer=None if uncertain is None else inet_ntoa(balancer),
        )
        if uncertain is not None:
            self.send(balancer, OwnerFrame(flow=packet.flow))
        return entry

    def note_open(self, key: bytes, flow: AgentFlow) -> None:
        """Take a flow for open in which the upstream goes on after its first answer.

        An upstream that repeats that answer to a late copy of the opening packet may
        have opened the flow long before this agent began.
        """
        if flow.stage not in (FlowStage.ASKED, FlowStage.OFFERED):
            return
        flow.stage = FlowStage.OPEN
        uncertain = self.uncertain.pop(key, None)
        if uncertain is not None:
            flow.balancer = uncertain.balancer
            self.send(uncertain.balancer, OwnerFrame(flow=key))

    def note_returned(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Handle a packet that the upstream doesn't take."""
        trim(self.foreign)
        self.foreign[packet.flow] = now
        uncertain = self.uncertain.pop(packet.flow, None)
        flow = self.flows.get(packet.flow)
        self.flows.drop(packet.flow)
        self.runtime.log.write(
            events.FLOW_RETURNED,
            flow=flow_name(packet.flow),
            was_known=flow is not None,
        )
        tag = service_tag(self.upstream.service)
        if flow is not None:
            self.give_back(flow.balancer, tag, self.codec.restore(data), lost=True)
        elif uncertain is None:
            return
        elif uncertain.searcher is None:
            self.give_back(uncertain.balancer, tag, self.codec.restore(data), lost=True)
        else:
            self.report_absent(packet.flow, uncertain.searcher, now=now)


def trim(remembered: dict[bytes, object]) -> None:
    """Keep what is remembered of flows within bounds."""
    if len(remembered) >= MAX_REMEMBERED:
        remembered.clear()
