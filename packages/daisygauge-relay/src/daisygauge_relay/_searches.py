"""Searches that an agent carries out for balancers.

Agents are many, with wide links; a balancer may be small. So a balancer hands the
packet of a flow that it doesn't know to one agent, and that one asks the others: first
those of the services that the flow's route names, then, when none of them holds the
flow, all others. A route may have named another service when the flow was opened, in
a version that no process remembers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from socket import inet_aton

from daisygauge_policy import PendingSearch, PendingSearches, SearchStep
from daisygauge_wire import Frame, NotFoundFrame, QueryFrame, SearchFrame

from ._candidates import CandidateLists, find_route, service_tag
from ._packet import RelayedPacket
from ._runtime import RelayRuntime


class Searches:
    """Asks other agents who holds a flow, and gathers the answers.

    :param candidates: agents by service.
    :param send: sends a frame to another instance.
    :param ask_own: asks this agent itself, at a monotonic time.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        candidates: CandidateLists,
        send: Callable[[bytes, Frame], None],
        ask_own: Callable[[QueryFrame, float], None],
    ) -> None:
        self.runtime = runtime
        self.candidates = candidates
        self.send = send
        self.ask_own = ask_own
        self.own = inet_aton(runtime.settings.host)
        self.pending = PendingSearches()

    def begin(self, frame: SearchFrame, packet: RelayedPacket, *, now: float) -> None:
        """Ask who holds a flow; the agent that does tells the balancer."""
        flow = packet.flow
        search = self.pending.begin(
            flow,
            balancer=frame.balancer,
            service=frame.service,
            packet=frame.packet,
            now=now,
        )
        asked = self.candidates.tags if search.is_wide else self.near(search, flow)
        self.ask(flow, search, asked, now=now)
        self.advance(flow, search, now=now)

    def near(self, search: PendingSearch, flow: bytes) -> frozenset[bytes]:
        """Return the agents of the services that a flow's route names."""
        route = find_route(self.runtime.directory.view, flow)
        shares = () if route is None else route.shares
        tags = {search.service, *(service_tag(share.service) for share in shares)}
        return frozenset(a for tag in tags for a in self.candidates.all_agents(tag))

    def ask(
        self, flow: bytes, search: PendingSearch, agents: Iterable[bytes], *, now: float
    ) -> None:
        """Ask agents that have not answered yet; this one itself comes last."""
        asked = search.select_unanswered(agents)
        for agent in asked:
            if agent != self.own:
                self.runtime.counters.queried += 1
                self.send(agent, self.make_query(search, agent))
        if self.own in asked:
            self.ask_own(self.make_query(search, self.own), now)

    def make_query(self, search: PendingSearch, agent: bytes) -> QueryFrame:
        """Return the question to one agent, which checks that the service is its."""
        return QueryFrame(
            balancer=search.balancer,
            service=self.candidates.tags.get(agent, search.service),
            packet=search.packet,
        )

    def record_absent(self, flow: bytes, agent: bytes, *, now: float) -> None:
        """Note the answer of an agent that doesn't hold a flow."""
        search = self.pending.record_absent(flow, agent)
        if search is not None:
            self.advance(flow, search, now=now)

    def advance(self, flow: bytes, search: PendingSearch, *, now: float) -> None:
        """Do what follows from the answers so far."""
        if self.pending.searches.get(flow) is not search:
            return
        step = search.next_step(
            route_agents=self.near(search, flow),
            all_agents=self.candidates.tags,
            own=self.own,
        )
        if step is SearchStep.WIDEN:
            search.is_wide = True
            self.ask(flow, search, self.candidates.tags, now=now)
        elif step is SearchStep.GIVE_UP:
            self.give_up(flow, search, now=now)

    def give_up(self, flow: bytes, search: PendingSearch, *, now: float) -> None:
        """Tell the balancer that nobody holds a flow.

        The list of agents must name every live upstream, or the flow may be at one
        that was not asked.
        """
        if not self.runtime.directory.lists_every_host(now=now):
            return
        self.pending.end(flow)
        agents = len(self.candidates.tags)
        self.send(search.balancer, NotFoundFrame(flow=flow, agents=agents))
