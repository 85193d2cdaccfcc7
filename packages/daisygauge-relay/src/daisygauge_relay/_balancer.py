"""The balancer: forwards packets of open flows and starts searches for their agents."""

from __future__ import annotations

import enum
from socket import inet_aton, inet_ntoa

from daisygauge_policy import (
    Rotation,
    RotationStage,
    SearchBudget,
)
from daisygauge_wire import (
    ForwardFrame,
    Frame,
    MalformedFrameError,
    NotFoundFrame,
    OfferFrame,
    OwnerFrame,
    SearchFrame,
    UnknownFlowFrame,
    decode_frame,
    encode_frame,
)

from . import _events as events
from ._candidates import choose_service, find_route, service_tag
from ._counters import Gauge
from ._endpoint import Endpoint
from ._flows import BalancerFlow, FlowTable, ReceivedOffer
from ._packet import (
    MalformedPacketError,
    PacketCodec,
    RelayedPacket,
    acknowledges,
    client_host,
    format_flow,
)
from ._placement import Placement
from ._runtime import DRAIN_POLL_SECONDS, RelayRuntime
from ._settings import RelayBalancerSettings
from ._sockets import RoleSockets

STARTUP_WAIT_SECONDS = 1.0
"""How long packets wait for the first configuration. Clients give up on an opening
packet after 1.4 s, so a longer wait is useless."""
FLOW_IDLE_SECONDS = 20.0
"""Idle time after which a flow is removed. A later packet starts a search for it."""


class LossReason(enum.Enum):
    """How it is known that no upstream holds a flow; the values are log reasons."""

    AT_OWNER = "gone-at-its-owner"
    EVERYWHERE = "absent-everywhere"


class RelayBalancer:
    """Owns a balancer's sockets and the state of its flows."""

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        settings: RelayBalancerSettings,
        codec: PacketCodec,
    ) -> None:
        self.runtime = runtime
        self.settings = settings
        self.codec = codec
        self.own_address = inet_aton(settings.host)
        self.client_port = settings.client_port
        self.inner_port = settings.inner_port
        self.flows: FlowTable[BalancerFlow] = FlowTable(is_expired=self.is_expired)
        self.placement = Placement(
            runtime=runtime, flows=self.flows, send=self.send, reset=self.reset
        )
        self.candidates = self.placement.candidates
        self.ingress = Endpoint(
            receive=self.receive_packet, report=runtime.report_error
        )
        self.inner = Endpoint(receive=self.receive_frame, report=runtime.report_error)
        self.last_packet_at = float("-inf")

    async def start(self, sockets: RoleSockets) -> None:
        """Start reading the sockets.

        Clients' packets stay in the socket's buffer until there is a configuration to
        route by, or ``STARTUP_WAIT_SECONDS`` have passed.
        """
        await self.inner.open(sockets.inner)
        await self.runtime.wait_for_configuration(seconds=STARTUP_WAIT_SECONDS)
        await self.ingress.open(sockets.outer)

    async def drain(self) -> None:
        """Forward packets until the fabric no longer uses this balancer."""
        now = self.runtime.now()
        longest = self.runtime.settings.max_drain_seconds
        rotation = Rotation(longest_seconds=longest, began=now, since=now)
        stage = rotation.stage
        while stage is not RotationStage.FINISHED:
            await self.runtime.sleep(DRAIN_POLL_SECONDS)
            stage = rotation.advance(
                last_packet=self.last_packet_at, now=self.runtime.now()
            )
            self.runtime.is_needed = stage is RotationStage.NEEDED

    def stop(self) -> None:
        """Close every socket."""
        self.ingress.close()
        self.inner.close()

    def gauges(self) -> tuple[Gauge, ...]:
        """Return the balancer's gauges for the metrics page."""
        return (
            Gauge(
                name="flows",
                text="Flows known.",
                read=lambda: len(self.flows),
            ),
            Gauge(
                name="agents_suspected",
                text="Agents that leave opening packets unanswered.",
                read=lambda: len(self.candidates.ejected),
            ),
        )

    def is_expired(self, flow: BalancerFlow, now: float) -> bool:
        """Return True when a flow has been idle long enough to be removed."""
        return now - flow.last_packet_at > FLOW_IDLE_SECONDS

    def receive_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet from a client."""
        now = self.last_packet_at = self.runtime.now()
        counters = self.runtime.counters
        try:
            packet = self.codec.read_from_client(data)
        except MalformedPacketError:
            counters.count_dropped("malformed-packet")
            return
        counters.packets_in += 1
        self.placement.refresh()
        if packet.opening:
            self.placement.place(packet, data, now=now)
        else:
            self.forward(packet, data, now=now)

    def forward(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Forward a packet of an open flow to its owner, or search for the owner."""
        flow = self.flows.get(packet.flow)
        if flow is None:
            flow = self.track_flow(packet, now=now)
            if flow is None:
                self.runtime.counters.count_dropped("no-route")
                return
        flow.last_packet_at = now
        if flow.owner is None:
            flow.owner = find_acknowledged_agent(flow, packet)
        if flow.owner is None:
            self.search(flow, packet, data, now=now)
            return
        frame = ForwardFrame(
            balancer=self.own_address, service=service_tag(flow.service), packet=data
        )
        self.send(flow.owner, frame)

    def track_flow(self, packet: RelayedPacket, *, now: float) -> BalancerFlow | None:
        """Add an entry for a flow that this balancer has no state of.

        :return: the entry, or None when no route matches the flow.
        """
        route = find_route(self.runtime.directory.view, packet.flow)
        if route is None:
            return None
        service = choose_service(route, packet.flow)
        return self.flows.add(
            packet.flow, BalancerFlow(service=service, last_packet_at=now), now=now
        )

    def search(
        self, flow: BalancerFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Ask an agent to search for a flow's owner, if the flow's budget allows it."""
        if flow.budget is None:
            flow.budget = SearchBudget(since=now)
        if not flow.budget.try_take(now=now):
            self.runtime.counters.count_dropped("search-budget")
            return
        flow.acknowledged = packet.acknowledged
        tag = service_tag(flow.service)
        # Any agent can search; those of the service are the likeliest to hold the flow.
        agents = self.candidates.order_all(tag, packet.flow) or tuple(
            self.candidates.service_tags
        )
        if not agents:
            self.runtime.counters.count_dropped("no-agent")
            return
        # Each round asks the next agent: one that doesn't answer costs one round.
        agent = agents[flow.budget.rounds % len(agents)]
        self.runtime.counters.searched += 1
        self.runtime.log.write(
            events.FLOW_SEARCHED,
            flow=format_flow(packet.flow),
            service=flow.service,
            agent=inet_ntoa(agent),
            agents=len(agents),
            **self.runtime.known_state(),
        )
        self.send(
            agent, SearchFrame(balancer=self.own_address, service=tag, packet=data)
        )

    def reset(self, flow: bytes) -> None:
        """Send a client the reset of a flow that isn't open."""
        address = (client_host(flow), self.client_port)
        self.ingress.send(self.codec.make_reset(flow), address)

    def send(self, agent: bytes, frame: Frame) -> None:
        """Send a frame to an agent."""
        address = (inet_ntoa(agent), self.inner_port)
        self.inner.send(encode_frame(frame), address)

    def receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        """Decode and handle a frame from an agent."""
        try:
            frame = decode_frame(data)
            self.handle_frame(frame, agent=inet_aton(sender[0]))
        except MalformedFrameError:
            self.runtime.counters.count_dropped("malformed-frame")
        except MalformedPacketError:
            self.runtime.counters.count_dropped("malformed-packet")

    def handle_frame(self, frame: Frame, *, agent: bytes) -> None:
        """Handle a decoded frame from an agent.

        :raises MalformedPacketError: the packet inside the frame can't be read.
        """
        self.placement.last_received[agent] = self.runtime.now()
        match frame:
            case OfferFrame():
                self.record_offer(frame, agent=agent)
            case OwnerFrame():
                self.record_owner(frame, agent=agent)
            case UnknownFlowFrame():
                self.handle_unknown_flow(frame, agent=agent)
            case NotFoundFrame():
                self.handle_not_found(frame)
            case _:
                self.runtime.counters.count_dropped("unexpected-frame")

    def record_offer(self, frame: OfferFrame, *, agent: bytes) -> None:
        """Record that an agent's upstream has answered an opening packet."""
        self.placement.record_answer(agent, now=self.runtime.now())
        flow = self.flows.get(frame.flow)
        if flow is not None:
            flow.offers.append(ReceivedOffer(agent=agent, sequence=frame.sequence))

    def record_owner(self, frame: OwnerFrame, *, agent: bytes) -> None:
        """Record the agent that holds a flow."""
        flow = self.flows.get(frame.flow)
        if flow is None or flow.owner == agent:
            return
        flow.owner = agent
        flow.budget = None
        self.runtime.log.write(
            events.FLOW_FOUND, flow=format_flow(frame.flow), agent=inet_ntoa(agent)
        )

    def handle_unknown_flow(self, frame: UnknownFlowFrame, *, agent: bytes) -> None:
        """Handle a packet that an agent returned because it doesn't hold the flow.

        :raises MalformedPacketError: the returned packet can't be read.
        """
        now = self.runtime.now()
        packet = self.codec.read_from_client(frame.packet)
        flow = self.flows.get(packet.flow)
        if flow is None:
            return
        flow.acknowledged = packet.acknowledged
        if flow.owner == agent:
            flow.owner = None
            flow.offers = [offer for offer in flow.offers if offer.agent != agent]
            if frame.lost:
                self.reset_lost_flow(packet.flow, flow, LossReason.AT_OWNER, absent=1)
                return
        self.placement.refresh()
        self.search(flow, packet, frame.packet, now=now)

    def handle_not_found(self, frame: NotFoundFrame) -> None:
        """Reset a flow that every agent has reported absent."""
        flow = self.flows.get(frame.flow)
        if flow is None or flow.owner is not None:
            return
        self.reset_lost_flow(
            frame.flow, flow, LossReason.EVERYWHERE, absent=frame.agents
        )

    def reset_lost_flow(
        self, key: bytes, flow: BalancerFlow, reason: LossReason, *, absent: int
    ) -> None:
        """Reset a flow that no upstream holds any more.

        The client can retry its repeatable requests on another flow at once, without
        waiting for their timeout.

        :param absent: number of agents that reported the flow absent.
        """
        self.flows.drop(key)
        self.runtime.counters.lost[reason.value] += 1
        self.runtime.log.write(
            events.FLOW_LOST,
            flow=format_flow(key),
            reason=reason.value,
            absent=absent,
            **self.runtime.known_state(),
        )
        reset = self.codec.make_reset(key, sequence=flow.acknowledged)
        self.ingress.send(reset, (client_host(key), self.client_port))


def find_acknowledged_agent(flow: BalancerFlow, packet: RelayedPacket) -> bytes | None:
    """Return the agent whose upstream a client's packet acknowledges, or None."""
    for offer in reversed(flow.offers):
        if acknowledges(packet, offer.sequence):
            return offer.agent
    return None
