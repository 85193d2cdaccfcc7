"""Searches that an agent carries out for balancers.

Agents are many, with wide links; a balancer may be small. So a balancer hands the
packet of a flow that it doesn't know to one agent, and that one asks all others.
"""

from __future__ import annotations

from collections.abc import Callable
from socket import inet_aton

from daisygauge_policy import PendingSearches, is_nowhere
from daisygauge_wire import Frame, NowhereFrame, QueryFrame, SearchFrame

from ._candidates import CandidateLists
from ._packet import RelayedPacket
from ._runtime import RelayRuntime


class Searches:
    """Asks the other agents of a service who holds a flow, and gathers the answers.

    :param candidates: agents by service.
    :param send: sends a frame to another instance.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        candidates: CandidateLists,
        send: Callable[[bytes, Frame], None],
    ) -> None:
        self.runtime = runtime
        self.candidates = candidates
        self.send = send
        self.own = inet_aton(runtime.settings.host)
        self.pending = PendingSearches()

    def begin(self, frame: SearchFrame, packet: RelayedPacket, *, now: float) -> None:
        """Ask every other agent; the one that holds the flow tells the balancer."""
        self.pending.begin(
            packet.flow, balancer=frame.balancer, service=frame.service, now=now
        )
        query = QueryFrame(
            balancer=frame.balancer, service=frame.service, packet=frame.packet
        )
        others = [
            agent
            for agent in self.candidates.all_agents(frame.service)
            if agent != self.own
        ]
        self.runtime.counters.queried += len(others)
        for agent in others:
            self.send(agent, query)

    def note_absent(self, flow: bytes, agent: bytes, *, now: float) -> None:
        """Note an answer, and tell the balancer once nobody is left.

        The list of agents must name every live upstream, or the flow may be at one
        that was not asked.
        """
        search = self.pending.note_absent(flow, agent)
        if search is None:
            return
        agents = self.candidates.all_agents(search.service)
        if not is_nowhere(search, agents, own=self.own):
            return
        if not self.runtime.directory.lists_every_host(now=now):
            return
        self.pending.end(flow)
        frame = NowhereFrame(flow=flow, service=search.service, agents=len(agents))
        self.send(search.balancer, frame)
