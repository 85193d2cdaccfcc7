"""Opening packets at a balancer: sent to an agent, or refused."""

from __future__ import annotations

import enum
from collections.abc import Callable
from socket import inet_aton, inet_ntoa

from daisygauge_policy import SuspectList, choose_candidate
from daisygauge_wire import MAX_TRIED, Frame, OpenFrame

from . import _events as events
from ._candidates import CandidateLists, choose_service, find_route, service_tag
from ._flows import BalancerFlow, FlowTable
from ._packet import RelayedPacket, flow_name
from ._runtime import RelayRuntime

SILENCE_SECONDS = 0.15
"""An agent that has not offered by then counts as silent; clients repeat an opening
packet after 200 ms."""
EARLY_COPY_SECONDS = 0.1
"""Copies are sent 0.2 s apart; one that comes sooner waited together with the one
before, which an agent has just been sent."""


class BalancerRefusal(enum.Enum):
    """Why a balancer refuses a new flow."""

    NO_ROUTE = "no-route"
    NO_HOST = "no-host"


class NeedlessCopy(enum.Enum):
    """Why a repeated opening packet isn't sent to an agent."""

    LATE = "late-opening"
    """The client has gone on since it sent the copy."""
    EARLY = "early-opening"
    """An agent may still answer the copy before."""


class Placement:
    """Chooses the agent of each new flow, and knows which agents don't answer.

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
        self.own = inet_aton(runtime.settings.host)
        self.candidates = CandidateLists()
        self.suspects = SuspectList()
        # Monotonic time of each agent's last frame.
        self.heard: dict[bytes, float] = {}

    def refresh(self) -> None:
        """Take the directory's present view into use."""
        view = self.runtime.directory.view
        if view is self.candidates.view:
            return
        self.candidates.update(view)
        self.suspects.retain(view.hosts_by_address)
        agents = frozenset(map(inet_aton, view.hosts_by_address))
        self.heard = {agent: at for agent, at in self.heard.items() if agent in agents}

    def note_answer(self, agent: bytes, *, now: float) -> None:
        """Clear an agent of suspicion."""
        name = inet_ntoa(agent)
        if name in self.suspects.suspicions:
            self.suspects.report_answer(name)
            self.update_ejected(now=now)

    def place(self, packet: RelayedPacket, data: bytes, *, now: float) -> None:
        """Offer a new flow to an agent, or refuse it."""
        route = find_route(self.runtime.directory.view, packet.flow)
        if route is None:
            self.refuse(packet, BalancerRefusal.NO_ROUTE)
            return
        flow = self.flows.get(packet.flow)
        if flow is not None and packet.copy:
            needless = find_needless(flow, now=now)
            if needless is not None:
                self.runtime.counters.drop(needless.value)
                return
        if flow is None or flow.owner is not None:
            service = choose_service(route, packet.flow)
            flow = BalancerFlow(service=service, seen=now)
            self.flows.add(packet.flow, flow, now=now)
        self.note_silence(flow, packet, now=now)
        if self.candidates.ejected:
            self.update_ejected(now=now)
        flow.seen = now
        self.ask_agent(flow, packet, data, now=now)

    def ask_agent(
        self, flow: BalancerFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Send an opening packet to the agent that is to be asked first."""
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
        self.reset(packet.flow)

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


def find_needless(flow: BalancerFlow, *, now: float) -> NeedlessCopy | None:
    """Return why a copy of a flow's opening packet goes nowhere, if it is so."""
    if flow.owner is not None:
        return NeedlessCopy.LATE
    is_asked = bool(flow.asked) and not flow.offers
    if is_asked and now - flow.seen < EARLY_COPY_SECONDS:
        return NeedlessCopy.EARLY
    return None
