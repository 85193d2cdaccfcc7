"""The balancer: carries the packets of open flows and has lost ones found."""

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
from ._flows import BalancerFlow, FlowTable, SeenOffer
from ._packet import (
    MalformedPacketError,
    PacketCodec,
    RelayedPacket,
    acknowledges,
    client_host,
    flow_name,
)
from ._placement import Placement
from ._runtime import DRAIN_POLL_SECONDS, RelayRuntime
from ._settings import RelayBalancerSettings
from ._sockets import RoleSockets

HOLD_SECONDS = 1.0
"""Clients give an opening packet up after 1.4 s; what waits longer is of no use."""
FORGET_SECONDS = 20.0
"""A flow idle for longer is searched again when it goes on."""


class LostFlow(enum.Enum):
    """How a balancer knows that a flow's upstream no longer holds it."""

    AT_OWNER = "gone-at-its-owner"
    EVERYWHERE = "absent-everywhere"


class RelayBalancer:
    """One balancer's sockets and flows."""

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
        self.own = inet_aton(settings.host)
        self.client_port = settings.client_port
        self.inner_port = settings.inner_port
        self.flows: FlowTable[BalancerFlow] = FlowTable(is_over=self.is_over)
        self.placement = Placement(
            runtime=runtime, flows=self.flows, send=self.send, reset=self.reset
        )
        self.candidates = self.placement.candidates
        self.ingress = Endpoint(
            receive=self.receive_packet, report=runtime.report_error
        )
        self.inner = Endpoint(receive=self.receive_frame, report=runtime.report_error)
        self.last_packet = float("-inf")

    async def start(self, sockets: RoleSockets) -> None:
        """Begin to read the sockets.

        Packets that came during the start wait until they can be routed.
        """
        await self.inner.open(sockets.inner)
        await self.runtime.wait_complete(seconds=HOLD_SECONDS)
        await self.ingress.open(sockets.outer)

    async def drain(self) -> None:
        """Carry packets until the fabric has left this balancer."""
        now = self.runtime.now()
        longest = self.settings.longest_drain_seconds
        rotation = Rotation(longest_seconds=longest, began=now, since=now)
        stage = rotation.stage
        while stage is not RotationStage.FINISHED:
            await self.runtime.sleep(DRAIN_POLL_SECONDS)
            stage = rotation.advance(
                last_packet=self.last_packet, now=self.runtime.now()
            )
            self.runtime.is_needed = stage is RotationStage.NEEDED

    def stop(self) -> None:
        """Close every socket."""
        self.ingress.close()
        self.inner.close()

    def gauges(self) -> tuple[Gauge, ...]:
        """Return what the metrics page shows of this role."""
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

    def is_over(self, flow: BalancerFlow, now: float) -> bool:
        """Tell whether a flow may be forgotten."""
        return now - flow.seen > FORGET_SECONDS

    def receive_packet(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet of a client."""
        now = self.last_packet = self.runtime.now()
        counters = self.runtime.counters
        try:
            packet = self.codec.read_from_client(data)
        except MalformedPacketError:
            counters.drop("malformed-packet")
            return
        counters.packets_in += 1
        self.placement.refresh()
        if packet.opening:
            self.placement.place(packet, data, now=now)
        else:
            self.carry(packet, data, now=now)

    def carry(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Send a packet of an open flow to the agent that holds it."""
        flow = self.flows.get(packet.flow)
        if flow is None:
            flow = self.adopt(packet, now=now)
            if flow is None:
                self.runtime.counters.drop("no-route")
                return
        flow.seen = now
        if flow.owner is None:
            flow.owner = match_offer(flow, packet)
        if flow.owner is None:
            self.search(flow, packet, data, now=now)
            return
        frame = ForwardFrame(
            balancer=self.own, service=service_tag(flow.service), packet=data
        )
        self.send(flow.owner, frame)

    def adopt(self, packet: RelayedPacket, *, now: float) -> BalancerFlow | None:
        """Begin to know a flow that another balancer placed."""
        route = find_route(self.runtime.directory.view, packet.flow)
        if route is None:
            return None
        service = choose_service(route, packet.flow)
        return self.flows.add(
            packet.flow, BalancerFlow(service=service, seen=now), now=now
        )

    def search(
        self, flow: BalancerFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Have the agent that holds a flow found, as the flow's budget allows."""
        if flow.budget is None:
            flow.budget = SearchBudget(since=now)
        if not flow.budget.try_take(now=now):
            self.runtime.counters.drop("search-budget")
            return
        flow.acknowledged = packet.acknowledged
        tag = service_tag(flow.service)
        # Any agent can search; those of the service are the likeliest to hold it.
        agents = self.candidates.order_all(tag, packet.flow) or tuple(
            self.candidates.tags
        )
        if not agents:
            self.runtime.counters.drop("no-agent")
            return
        # An agent that doesn't answer costs one round: the next asks another.
        agent = agents[flow.budget.rounds % len(agents)]
        self.runtime.counters.searched += 1
        self.runtime.log.write(
            events.FLOW_SEARCHED,
            flow=flow_name(packet.flow),
            service=flow.service,
            agent=inet_ntoa(agent),
            agents=len(agents),
            **self.runtime.belief(),
        )
        self.send(agent, SearchFrame(balancer=self.own, service=tag, packet=data))

    def reset(self, flow: bytes) -> None:
        """Reset a flow that isn't open."""
        address = (client_host(flow), self.client_port)
        self.ingress.send(self.codec.make_reset(flow), address)

    def send(self, agent: bytes, frame: Frame) -> None:
        """Send a frame to an agent."""
        address = (inet_ntoa(agent), self.inner_port)
        self.inner.send(encode_frame(frame), address)

    def receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle what an agent tells."""
        try:
            frame = decode_frame(data)
            self.handle_frame(frame, agent=inet_aton(sender[0]))
        except MalformedFrameError:
            self.runtime.counters.drop("malformed-frame")
        except MalformedPacketError:
            self.runtime.counters.drop("malformed-packet")

    def handle_frame(self, frame: Frame, *, agent: bytes) -> None:
        """Handle a frame of an agent.

        :raises MalformedPacketError: the frame holds no packet.
        """
        self.placement.heard[agent] = self.runtime.now()
        match frame:
            case OfferFrame():
                self.note_offer(frame, agent=agent)
            case OwnerFrame():
                self.note_owner(frame, agent=agent)
            case UnknownFlowFrame():
                self.take_back(frame, agent=agent)
            case NotFoundFrame():
                self.note_nowhere(frame)
            case _:
                self.runtime.counters.drop("unexpected-frame")

    def note_offer(self, frame: OfferFrame, *, agent: bytes) -> None:
        """Remember which upstream has answered an opening packet."""
        self.placement.note_answer(agent, now=self.runtime.now())
        flow = self.flows.get(frame.flow)
        if flow is not None:
            flow.offers.append(SeenOffer(agent=agent, sequence=frame.sequence))

    def note_owner(self, frame: OwnerFrame, *, agent: bytes) -> None:
        """Remember who holds a flow."""
        flow = self.flows.get(frame.flow)
        if flow is None or flow.owner == agent:
            return
        flow.owner = agent
        flow.budget = None
        self.runtime.log.write(
            events.FLOW_FOUND, flow=flow_name(frame.flow), agent=inet_ntoa(agent)
        )

    def take_back(self, frame: UnknownFlowFrame, *, agent: bytes) -> None:
        """Handle a packet that the agent thought to hold its flow gives back."""
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
                self.end_lost(packet.flow, flow, LostFlow.AT_OWNER, absent=1)
                return
        self.placement.refresh()
        self.search(flow, packet, frame.packet, now=now)

    def note_nowhere(self, frame: NotFoundFrame) -> None:
        """End a flow that no upstream holds."""
        flow = self.flows.get(frame.flow)
        if flow is None or flow.owner is not None:
            return
        self.end_lost(frame.flow, flow, LostFlow.EVERYWHERE, absent=frame.agents)

    def end_lost(
        self, key: bytes, flow: BalancerFlow, reason: LostFlow, *, absent: int
    ) -> None:
        """Tell a client at once that its flow's upstream has lost it.

        Its requests that may be repeated go on over another flow without waiting for
        their timeout.

        :param absent: agents that don't hold the flow.
        """
        self.flows.drop(key)
        self.runtime.counters.lost[reason.value] += 1
        self.runtime.log.write(
            events.FLOW_LOST,
            flow=flow_name(key),
            reason=reason.value,
            absent=absent,
            **self.runtime.belief(),
        )
        reset = self.codec.make_reset(key, sequence=flow.acknowledged)
        self.ingress.send(reset, (client_host(key), self.client_port))


def match_offer(flow: BalancerFlow, packet: RelayedPacket) -> bytes | None:
    """Return the agent whose upstream a client's packet acknowledges."""
    for offer in reversed(flow.offers):
        if acknowledges(packet, offer.sequence):
            return offer.agent
    return None
