"""Searches that an agent carries out for balancers.

There are many agents, with wide links, while a balancer may be small. So a balancer
sends the packet of a flow whose agent it doesn't know to one agent, and that agent
queries the others: first those of the services that the flow's route names, then, when
none of them holds the flow or some don't answer in time, all others. An older version
of the route, which no process keeps, may have named another service when the flow was
opened.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from socket import inet_aton

from daisygauge_policy import PendingSearch, PendingSearches, SearchStep
from daisygauge_wire import (
    Frame,
    NotFoundFrame,
    OwnerFrame,
    QueryFrame,
    SearchFrame,
)

from ._candidates import CandidateLists, find_route, service_tag
from ._packet import RelayedPacket
from ._runtime import RelayRuntime


class Searches:
    """Queries agents for the owner of a flow and collects the answers.

    :param candidates: agents by service.
    :param send: sends a frame to another instance.
    :param query_self: handles a query to this agent itself, at a monotonic time.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        candidates: CandidateLists,
        send: Callable[[bytes, Frame], None],
        query_self: Callable[[QueryFrame, float], None],
    ) -> None:
        self.runtime = runtime
        self.candidates = candidates
        self.send = send
        self.query_self = query_self
        self.own_address = inet_aton(runtime.settings.host)
        self.pending = PendingSearches()

    def begin(self, frame: SearchFrame, packet: RelayedPacket, *, now: float) -> None:
        """Query agents for a flow's owner, which reports to the balancer itself."""
        flow = packet.flow
        known = self.pending.searches.get(flow)
        search = self.pending.begin(
            flow,
            balancer=frame.balancer,
            service=frame.service,
            packet=frame.packet,
            now=now,
        )
        self.query_all(flow, search, now=now)
        if search is not known and packet.length:
            # An upstream answers a packet with data, which ends the search.
            self.schedule_repeat(flow, search, now=now)

    def schedule_repeat(
        self, flow: bytes, search: PendingSearch, *, now: float
    ) -> None:
        """Schedule the repeat of unanswered queries.

        An agent that was queried may begin only now, or the hosts may be unknown here
        yet. The client repeats its packet much later.
        """
        pause = search.next_pause(now=now)
        if pause is not None:
            self.runtime.call_later(pause, lambda: self.repeat(flow, search))

    def repeat(self, flow: bytes, search: PendingSearch) -> None:
        """Repeat the unanswered queries of a search that is still pending."""
        if self.pending.searches.get(flow) is not search:
            return
        now = self.runtime.now()
        self.query_all(flow, search, now=now)
        self.schedule_repeat(flow, search, now=now)

    def query_all(self, flow: bytes, search: PendingSearch, *, now: float) -> None:
        """Query the agents that have not answered, and end the search if all have."""
        asked = (
            self.candidates.service_tags
            if search.is_wide
            else self.list_route_agents(search, flow)
        )
        self.query(flow, search, asked, now=now)
        self.advance(flow, search, now=now)

    def list_route_agents(self, search: PendingSearch, flow: bytes) -> frozenset[bytes]:
        """Return the agents of the flow's service and of those that its route names."""
        route = find_route(self.runtime.directory.view, flow)
        shares = () if route is None else route.shares
        tags = {search.service, *(service_tag(share.service) for share in shares)}
        return frozenset(a for tag in tags for a in self.candidates.list_agents(tag))

    def query(
        self, flow: bytes, search: PendingSearch, agents: Iterable[bytes], *, now: float
    ) -> None:
        """Query the agents that have not answered yet, this one last."""
        asked = search.select_unanswered(agents)
        for agent in asked:
            if agent != self.own_address:
                self.runtime.counters.queried += 1
                self.send(agent, self.make_query(search, agent))
        if self.own_address in asked:
            self.query_self(self.make_query(search, self.own_address), now)

    def make_query(self, search: PendingSearch, agent: bytes) -> QueryFrame:
        """Return the query to one agent, which checks that the service is its own."""
        return QueryFrame(
            balancer=search.balancer,
            service=self.candidates.service_tags.get(agent, search.service),
            packet=search.packet,
        )

    def report_owner(self, flow: bytes, balancer: bytes, searcher: bytes) -> None:
        """Report to the balancer and to the searching agent that the flow is here."""
        self.send(balancer, OwnerFrame(flow=flow))
        if searcher == self.own_address:
            self.record_found(flow)
        else:
            self.send(searcher, OwnerFrame(flow=flow))

    def record_found(self, flow: bytes) -> None:
        """End a search; the agent that holds the flow has reported to the balancer."""
        self.pending.end(flow)

    def record_absent(self, flow: bytes, agent: bytes, *, now: float) -> None:
        """Record that an agent doesn't hold a flow."""
        search = self.pending.record_absent(flow, agent)
        if search is not None:
            self.advance(flow, search, now=now)

    def advance(self, flow: bytes, search: PendingSearch, *, now: float) -> None:
        """Widen or end the search, as the answers so far require."""
        if self.pending.searches.get(flow) is not search:
            return
        step = search.next_step(
            route_agents=self.list_route_agents(search, flow),
            all_agents=self.candidates.service_tags,
            own=self.own_address,
            now=now,
        )
        if step is SearchStep.WIDEN:
            search.is_wide = True
            # Unanswered queries are repeated at their own pace.
            new = set(self.candidates.service_tags) - search.unanswered
            self.query(flow, search, new, now=now)
        elif step is SearchStep.GIVE_UP:
            self.report_not_found(flow, search, now=now)

    def report_not_found(
        self, flow: bytes, search: PendingSearch, *, now: float
    ) -> None:
        """Report to the balancer that no agent holds a flow.

        Nothing is reported unless the directory lists every host: the flow may be at an
        upstream that was not queried.
        """
        if not self.runtime.directory.lists_every_host(now=now):
            return
        self.pending.end(flow)
        agents = len(self.candidates.service_tags)
        self.send(search.balancer, NotFoundFrame(flow=flow, agents=agents))
