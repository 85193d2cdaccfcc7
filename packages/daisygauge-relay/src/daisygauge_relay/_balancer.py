"""The balancer: places new flows and carries the packets of open ones."""

from __future__ import annotations

import enum
from socket import inet_aton, inet_ntoa

from daisygauge_control import RouteRecord
from daisygauge_policy import (
    Rotation,
    RotationStage,
    SearchBudget,
    SuspectList,
    choose_candidate,
)
from daisygauge_wire import (
    MAX_TRIED,
    CarryFrame,
    Frame,
    MalformedFrameError,
    NowhereFrame,
    OfferFrame,
    OpenFrame,
    OwnerFrame,
    SearchFrame,
    StrayFrame,
    decode_frame,
    encode_frame,
)

from . import _events as events
from ._candidates import CandidateLists, choose_service, service_tag
from ._endpoint import Endpoint
from ._flows import BalancerFlow, FlowTable, SeenOffer
from ._metrics import Gauge
from ._packet import (
    MalformedPacketError,
    PacketCodec,
    RelayedPacket,
    acknowledges,
    client_host,
    flow_name,
    service_host,
    service_port,
)
from ._runtime import RelayRuntime
from ._settings import RelayBalancerSettings
from ._sockets import RoleSockets

SILENCE_SECONDS = 0.15
"""An agent that has not offered by then counts as silent; clients repeat an opening
packet after 200 ms."""
HOLD_SECONDS = 1.0
"""Clients give an opening packet up after 1.4 s; what waits longer is of no use."""
EARLY_COPY_SECONDS = 0.1
"""Copies are sent 0.2 s apart; one that comes sooner waited together with the one
before, which an agent has just been sent."""
FORGET_SECONDS = 20.0
"""A flow idle for longer is searched again when it goes on."""
DRAIN_POLL_SECONDS = 0.1
GRACE_SHARE = 0.87
"""Part of the grace period that draining may use; closing needs the rest."""


class BalancerRefusal(enum.Enum):
    """Why a balancer refuses a new flow."""

    NO_ROUTE = "no-route"
    NO_HOST = "no-host"


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
        self.candidates = CandidateLists()
        self.suspects = SuspectList()
        self.flows: FlowTable[BalancerFlow] = FlowTable(is_over=self.is_over)
        self.ingress = Endpoint(
            receive=self.receive_packet, report=runtime.report_error
        )
        self.inner = Endpoint(receive=self.receive_frame, report=runtime.report_error)
        self.last_packet = float("-inf")
        # Monotonic time of each agent's last frame.
        self.heard: dict[bytes, float] = {}

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
        longest = self.settings.grace_seconds * GRACE_SHARE
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

    def refresh(self) -> None:
        """Take the directory's present view into use."""
        view = self.runtime.directory.view
        if view is self.candidates.view:
            return
        self.candidates.update(view)
        self.suspects.retain(view.residents)
        agents = frozenset(map(inet_aton, view.residents))
        self.heard = {agent: at for agent, at in self.heard.items() if agent in agents}

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
        self.refresh()
        if packet.opening:
            self.place(packet, data, now=now)
        else:
            self.carry(packet, data, now=now)

    def place(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Offer a new flow to an agent, or refuse it."""
        route = self.find_route(packet.flow)
        if route is None:
            self.refuse(packet, BalancerRefusal.NO_ROUTE)
            return
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.owner is not None and packet.copy:
            # The client has gone on since it sent this copy.
            self.runtime.counters.drop("late-opening")
            return
        if flow is not None and is_early_copy(flow, packet, now=now):
            self.runtime.counters.drop("early-opening")
            return
        if flow is None or flow.owner is not None:
            service = choose_service(route, packet.flow)
            flow = BalancerFlow(service=service, seen=now)
            self.flows.add(packet.flow, flow, now=now)
        self.note_silence(flow, packet, now=now)
        if self.candidates.ejected:
            self.update_ejected(now=now)
        flow.seen = now
        tag = service_tag(flow.service)
        candidates = self.candidates.order(tag, packet.flow)
        silent = self.list_silent(candidates)
        agent = choose_candidate(
            candidates,
            copy=packet.copy,
            tried=flow.asked,
            offered=[offer.agent for offer in flow.offers],
            avoided=silent,
        )
        if agent is None:
            self.refuse_without_host(packet)
            return
        if agent not in flow.asked:
            flow.asked.append(agent)
        if self.suspects.begin_trial(inet_ntoa(agent), now=now):
            self.update_ejected(now=now)
        self.runtime.counters.placed += 1
        self.runtime.log.write(
            events.OPENING_PLACED,
            flow=flow_name(packet.flow),
            service=flow.service,
            agent=inet_ntoa(agent),
            copy=packet.copy,
            candidates=len(candidates),
            suspects=len(self.candidates.ejected),
            **self.runtime.belief(),
        )
        # Nobody needs to pass the packet to an agent that doesn't answer.
        tried = tuple(other for other in silent if other != agent)
        frame = OpenFrame(balancer=self.own, service=tag, packet=data, tried=tried)
        self.send(agent, frame)

    def list_silent(self, candidates: tuple[bytes, ...]) -> tuple[bytes, ...]:
        """Return the agents of a service that don't answer."""
        if not self.suspects.suspicions:
            return ()
        unproven = self.suspects.unproven(map(inet_ntoa, candidates))
        return tuple(sorted(map(inet_aton, unproven)))[:MAX_TRIED]

    def find_route(self, flow: bytes) -> RouteRecord | None:
        """Return the route that a flow was opened to."""
        routes = self.runtime.directory.view.routes
        return routes.get((service_host(flow), service_port(flow)))

    def refuse_without_host(self, packet: RelayedPacket) -> None:
        """Refuse a new flow of a service without hosts.

        An upstream that left since may have been given an earlier copy; a reset would
        then cut an open flow.
        """
        if packet.copy:
            self.runtime.counters.drop("opening-uncertain")
            return
        self.refuse(packet, BalancerRefusal.NO_HOST)

    def refuse(self, packet: RelayedPacket, reason: BalancerRefusal) -> None:
        """Reset a flow that isn't open, unless nothing is known yet."""
        if not self.runtime.directory.view.is_complete:
            self.runtime.counters.drop("no-configuration")
            return
        self.runtime.counters.refuse(reason.value)
        self.runtime.log.write(
            events.OPENING_REFUSED,
            flow=flow_name(packet.flow),
            reason=reason.value,
            **self.runtime.belief(),
        )
        address = (client_host(packet.flow), self.client_port)
        self.ingress.send(self.codec.make_reset(packet.flow), address)

    def note_silence(
        self, flow: BalancerFlow, packet: RelayedPacket, *, now: float
    ) -> None:
        """Hold it against the agent asked last when no offer has come."""
        if packet.copy == 0 or flow.offers or not flow.asked:
            return
        if now - flow.seen < SILENCE_SECONDS:
            return
        if self.heard.get(flow.asked[-1], float("-inf")) >= flow.seen:
            # It lives, and has passed the packet to one that may not.
            return
        self.suspects.report_silence(inet_ntoa(flow.asked[-1]), now=now)
        self.update_ejected(now=now)

    def update_ejected(self, *, now: float) -> None:
        """Work out which agents are tried last; back-offs end with time."""
        ejected: set[bytes] = set()
        for agents in self.candidates.agents.values():
            names = [inet_ntoa(agent) for agent in agents]
            ejected.update(map(inet_aton, self.suspects.ejected(names, now=now)))
        if ejected != self.candidates.ejected:
            self.runtime.log.write(
                events.SUSPECTS_CHANGED,
                suspects=sorted(map(inet_ntoa, ejected)),
                **self.runtime.belief(),
            )
        self.candidates.eject(ejected)

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
        frame = CarryFrame(
            balancer=self.own, service=service_tag(flow.service), packet=data
        )
        self.send(flow.owner, frame)

    def adopt(self, packet: RelayedPacket, *, now: float) -> BalancerFlow | None:
        """Begin to know a flow that another balancer placed."""
        route = self.find_route(packet.flow)
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
        if not flow.budget.take(now=now):
            self.runtime.counters.drop("search-budget")
            return
        flow.acknowledged = packet.acknowledged
        for tag in self.possible_services(flow, packet.flow):
            agents = self.candidates.order_all(tag, packet.flow)
            if not agents:
                continue
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

    def possible_services(self, flow: BalancerFlow, key: bytes) -> tuple[int, ...]:
        """Return the tags of the services at which a flow may be.

        Another balancer may have placed it when its route's weights were others.
        """
        route = self.find_route(key)
        names = [flow.service]
        names += [share.service for share in route.shares] if route is not None else []
        return tuple(dict.fromkeys(map(service_tag, names)))

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
        self.heard[agent] = self.runtime.now()
        match frame:
            case OfferFrame():
                self.note_offer(frame, agent=agent)
            case OwnerFrame():
                self.note_owner(frame, agent=agent)
            case StrayFrame():
                self.take_back(frame, agent=agent)
            case NowhereFrame():
                self.note_nowhere(frame)
            case _:
                self.runtime.counters.drop("unexpected-frame")

    def note_offer(self, frame: OfferFrame, *, agent: bytes) -> None:
        """Remember which upstream has answered an opening packet."""
        name = inet_ntoa(agent)
        if name in self.suspects.suspicions:
            self.suspects.report_answer(name)
            self.update_ejected(now=self.runtime.now())
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
        flow.absent.clear()
        self.runtime.log.write(
            events.FLOW_FOUND, flow=flow_name(frame.flow), agent=inet_ntoa(agent)
        )

    def take_back(self, frame: StrayFrame, *, agent: bytes) -> None:
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
                self.end_lost(packet.flow, flow, LostFlow.AT_OWNER)
                return
        self.refresh()
        self.search(flow, packet, frame.packet, now=now)

    def note_nowhere(self, frame: NowhereFrame) -> None:
        """End a flow that no upstream of its services holds."""
        flow = self.flows.get(frame.flow)
        if flow is None or flow.owner is not None:
            return
        flow.absent[frame.service] = frame.agents
        services = self.possible_services(flow, frame.flow)
        if all(tag in flow.absent for tag in services):
            self.end_lost(frame.flow, flow, LostFlow.EVERYWHERE)

    def end_lost(self, key: bytes, flow: BalancerFlow, reason: LostFlow) -> None:
        """Tell a client at once that its flow's upstream has lost it.

        Its requests that may be repeated go on over another flow without waiting for
        their timeout.
        """
        self.flows.drop(key)
        self.runtime.counters.lost[reason.value] += 1
        self.runtime.log.write(
            events.FLOW_LOST,
            flow=flow_name(key),
            reason=reason.value,
            absent=sum(flow.absent.values()),
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


def is_early_copy(flow: BalancerFlow, packet: RelayedPacket, *, now: float) -> bool:
    """Tell whether an agent may still answer the copy before."""
    is_asked = bool(flow.asked) and not flow.offers
    return is_asked and packet.copy > 0 and now - flow.seen < EARLY_COPY_SECONDS
