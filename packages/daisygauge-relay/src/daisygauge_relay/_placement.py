"""Opening packets at a balancer: sent to an agent or refused."""

from __future__ import annotations

import enum
from collections.abc import Callable
from socket import inet_aton, inet_ntoa

from daisygauge_control import RouteRecord
from daisygauge_policy import SuspectList, choose_candidate
from daisygauge_wire import MAX_TRIED, Frame, OpenFrame

from . import _events as events
from ._candidates import (
    CandidateLists,
    choose_service,
    find_route,
    route_tag,
    service_tag,
)
from ._flows import BalancerFlow, FlowTable
from ._packet import RelayedPacket, format_flow
from ._runtime import RelayRuntime

AGENT_OFFER_TIMEOUT_SECONDS = 0.15
"""Timeout for an agent's offer; an agent that exceeds it is suspected. It is below
the 200 ms after which clients repeat an opening packet."""
EARLY_COPY_SECONDS = 0.1
"""Clients send copies 0.2 s apart. One that arrives sooner was queued together with the
previous one, which has just been sent to an agent."""


class BalancerRefusal(enum.Enum):
    """Why a balancer refuses a new flow."""

    NO_ROUTE = "no-route"
    NO_HOST = "no-host"


class RedundantCopy(enum.Enum):
    """Why a repeated opening packet isn't sent to an agent."""

    LATE = "late-opening"
    """The flow has opened since the client sent the copy."""
    EARLY = "early-opening"
    """An agent may still answer the previous copy."""


class Placement:
    """Chooses the agent of each new flow and tracks the agents that don't answer.

    :param send: sends a frame to an agent.
    :param reset: sends a client the reset of a flow that isn't open.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        flows: FlowTable[BalancerFlow],
        send: Callable[[bytes, Frame], None],
        reset: Callable[[bytes], None],
    ) -> None:
        self.runtime = runtime
        self.flows = flows
        self.send = send
        self.reset = reset
        self.own_address = inet_aton(runtime.settings.host)
        self.candidates = CandidateLists()
        self.suspects = SuspectList()
        # Monotonic time of the last frame from each agent.
        self.last_received: dict[bytes, float] = {}

    def refresh(self) -> None:
        """Apply the directory's current view and discard removed agents' state."""
        view = self.runtime.directory.view
        if view is self.candidates.view:
            return
        self.candidates.update(view)
        self.suspects.retain(view.hosts_by_address)
        agents = frozenset(map(inet_aton, view.hosts_by_address))
        self.last_received = {
            agent: at for agent, at in self.last_received.items() if agent in agents
        }

    def record_answer(self, agent: bytes, *, now: float) -> None:
        """Clear the suspicion of an agent that has answered."""
        name = inet_ntoa(agent)
        if name in self.suspects.suspicions:
            self.suspects.report_answer(name)
            self.update_ejected(now=now)

    def place(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Send a new flow's opening packet to an agent, or refuse the flow."""
        route = find_route(self.runtime.directory.view, packet.flow)
        if route is None:
            self.refuse(packet, BalancerRefusal.NO_ROUTE)
            return
        flow = self.flows.get(packet.flow)
        if flow is not None and packet.copy:
            redundancy = find_redundancy(flow, now=now)
            if redundancy is not None:
                self.runtime.counters.count_dropped(redundancy.value)
                return
        if flow is None or flow.owner is not None:
            service = choose_service(route, packet.flow)
            flow = BalancerFlow(service=service, last_packet_at=now)
            self.flows.add(packet.flow, flow, now=now)
        self.record_silence(flow, packet, now=now)
        update_service(flow, route, packet)
        if self.candidates.ejected:
            self.update_ejected(now=now)
        flow.last_packet_at = now
        self.send_opening(flow, packet, data, route=route, now=now)

    def send_opening(
        self,
        flow: BalancerFlow,
        packet: RelayedPacket,
        data: bytes,
        *,
        route: RouteRecord,
        now: float,
    ) -> None:
        """Choose an agent for an opening packet and send it there."""
        tag = service_tag(flow.service)
        candidates = self.candidates.order(tag, packet.flow)
        suspects = self.list_suspects(candidates)
        agent = choose_candidate(
            candidates,
            copy=packet.copy,
            tried=flow.asked,
            offered=[offer.agent for offer in flow.offers],
            avoided=suspects,
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
            flow=format_flow(packet.flow),
            service=flow.service,
            agent=inet_ntoa(agent),
            copy=packet.copy,
            candidates=len(candidates),
            suspects=len(self.candidates.ejected),
            **self.runtime.known_state(),
        )
        # Listed as tried, so that no agent passes the packet on to a suspect.
        tried = tuple(other for other in suspects if other != agent)
        frame = OpenFrame(
            balancer=self.own_address,
            service=tag,
            packet=data,
            tried=tried,
            route_tag=route_tag(route),
        )
        self.send(agent, frame)

    def list_suspects(self, candidates: tuple[bytes, ...]) -> tuple[bytes, ...]:
        """Return the candidates that are under suspicion, at most ``MAX_TRIED``."""
        if not self.suspects.suspicions:
            return ()
        suspected = self.suspects.suspected(map(inet_ntoa, candidates))
        return tuple(sorted(map(inet_aton, suspected)))[:MAX_TRIED]

    def refuse_without_host(self, packet: RelayedPacket) -> None:
        """Refuse a new flow of a service without hosts.

        A copy of an opening packet is dropped without a reset: an upstream that is
        no longer listed may have received an earlier copy, and a reset would then cut
        an open flow.
        """
        if packet.copy:
            self.runtime.counters.count_dropped("opening-uncertain")
            return
        self.refuse(packet, BalancerRefusal.NO_HOST)

    def refuse(self, packet: RelayedPacket, reason: BalancerRefusal) -> None:
        """Reset a new flow, or drop its packet while there is no configuration."""
        if not self.runtime.directory.view.is_complete:
            self.runtime.counters.count_dropped("no-configuration")
            return
        self.runtime.counters.count_refused(reason.value)
        self.runtime.log.write(
            events.OPENING_REFUSED,
            flow=format_flow(packet.flow),
            reason=reason.value,
            **self.runtime.known_state(),
        )
        self.reset(packet.flow)

    def record_silence(
        self, flow: BalancerFlow, packet: RelayedPacket, *, now: float
    ) -> None:
        """Suspect the most recently asked agent when its offer is overdue."""
        if packet.copy == 0 or flow.offers or not flow.asked:
            return
        if now - flow.last_packet_at < AGENT_OFFER_TIMEOUT_SECONDS:
            return
        if self.last_received.get(flow.asked[-1], float("-inf")) >= flow.last_packet_at:
            # The agent is alive; it has passed the packet on to one that may not be.
            return
        self.suspects.report_silence(inet_ntoa(flow.asked[-1]), now=now)
        self.update_ejected(now=now)

    def update_ejected(self, *, now: float) -> None:
        """Recompute which agents are tried last, since back-offs expire."""
        ejected: set[bytes] = set()
        for agents in self.candidates.agents.values():
            names = [inet_ntoa(agent) for agent in agents]
            ejected.update(map(inet_aton, self.suspects.ejected(names, now=now)))
        if ejected != self.candidates.ejected:
            self.runtime.log.write(
                events.SUSPECTS_CHANGED,
                suspects=sorted(map(inet_ntoa, ejected)),
                **self.runtime.known_state(),
            )
        self.candidates.eject(ejected)


def update_service(
    flow: BalancerFlow, route: RouteRecord, packet: RelayedPacket
) -> None:
    """Choose again for a copy when the route no longer names the flow's service.

    If an upstream has answered, the first copy still goes there: the flow may be open.
    """
    is_named = any(s.service == flow.service and s.weight > 0.0 for s in route.shares)
    goes_to_offer = bool(flow.offers) and packet.copy <= 1
    if not is_named and not goes_to_offer:
        flow.service = choose_service(route, packet.flow)


def find_redundancy(flow: BalancerFlow, *, now: float) -> RedundantCopy | None:
    """Return why a copy of a flow's opening packet needn't be sent, or None."""
    if flow.owner is not None:
        return RedundantCopy.LATE
    awaits_offer = bool(flow.asked) and not flow.offers
    if awaits_offer and now - flow.last_packet_at < EARLY_COPY_SECONDS:
        return RedundantCopy.EARLY
    return None
