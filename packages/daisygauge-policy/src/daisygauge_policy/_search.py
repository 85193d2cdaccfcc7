"""How the agent of a flow is found, how often, and when a flow is nowhere.

It answers the load after many balancers or agents were lost at once: every open
flow is then unknown somewhere. A balancer may have a slow processor and a narrow
link, so it asks one agent, and that one asks the others. One packet of each flow
finds its agent; packets of flows that nobody holds must not cost the fleet's size
each time they are repeated.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable

from msgspec import Struct, field

BURST_PACKETS = 6
"""Packets of one flow searched at once: a request rarely fills more."""
FIRST_PAUSE_SECONDS = 0.15
"""Shorter than the first retransmission of a client (200 ms)."""
LONGEST_PAUSE_SECONDS = 1.5
"""Just below the longest pause between retransmissions of a client (1.6 s)."""
MAX_PENDING = 4_096
"""Searches that an agent follows; more come only after everything died."""
PENDING_SECONDS = 2.0
"""A search is given up by then: its client has repeated the packet."""


class SearchBudget(Struct, kw_only=True):
    """What one flow may still cost in searches.

    :param packets: packets searched since the pause began.
    :param pause_seconds: time that the packets above are spread over.
    :param since: when the present pause began, in monotonic seconds.
    :param rounds: pauses that are over; each asks another agent.
    """

    since: float
    packets: int = 0
    rounds: int = 0
    pause_seconds: float = FIRST_PAUSE_SECONDS

    def try_take(self, *, now: float) -> bool:
        """Use one search, if one is left."""
        if now - self.since >= self.pause_seconds:
            self.since = now
            self.packets = 0
            self.rounds += 1
            self.pause_seconds = min(2.0 * self.pause_seconds, LONGEST_PAUSE_SECONDS)
        if self.packets >= BURST_PACKETS:
            return False
        self.packets += 1
        return True


class SearchStep(enum.Enum):
    """What the agent that carries out a search does next."""

    WAIT = "wait"
    WIDEN = "widen"
    """Ask the agents of all other services: a route may have named them before."""
    GIVE_UP = "give-up"
    """No agent holds the flow."""


class PendingSearch(Struct, kw_only=True):
    """A search that an agent carries out for a balancer.

    :param balancer: who is told the outcome.
    :param service: tag of the service at which the flow most likely is.
    :param packet: the latest packet of the flow, for agents that are asked later.
    :param since: monotonic time at which it began.
    :param is_wide: True once agents of services that the flow's route doesn't name
        are asked, too.
    :param absent: agents whose upstream doesn't hold the flow.
    :param unanswered: agents that were asked and have not answered.
    """

    balancer: bytes
    service: int
    packet: bytes
    since: float
    is_wide: bool = False
    absent: set[bytes] = field(default_factory=set)
    unanswered: set[bytes] = field(default_factory=set)

    def select_unanswered(self, agents: Iterable[bytes]) -> list[bytes]:
        """Return those of the agents that have not answered; they are asked now."""
        asked = [agent for agent in agents if agent not in self.absent]
        self.unanswered.update(asked)
        return asked

    def next_step(
        self,
        *,
        route_agents: Collection[bytes],
        all_agents: Collection[bytes],
        own: bytes,
    ) -> SearchStep:
        """Return what follows from the answers so far.

        :param route_agents: agents of the services that the flow's route names.
        :param all_agents: every agent of the fleet, as the asking agent knows them. A
            list without the asking agent itself is not to be trusted.
        """
        if own not in all_agents or not self.absent.issuperset(route_agents):
            return SearchStep.WAIT
        if self.absent.issuperset(all_agents):
            return SearchStep.GIVE_UP
        return SearchStep.WAIT if self.is_wide else SearchStep.WIDEN


class PendingSearches:
    """Gathers what agents say of searched flows."""

    def __init__(self) -> None:
        self.searches: dict[bytes, PendingSearch] = {}

    def begin(
        self, flow: bytes, *, balancer: bytes, service: int, packet: bytes, now: float
    ) -> PendingSearch:
        """Follow a search; a repeated one goes on with what is known."""
        self._forget_old(now=now)
        search = self.searches.get(flow)
        if search is None:
            search = self.searches[flow] = PendingSearch(
                balancer=balancer, service=service, packet=packet, since=now
            )
        search.balancer = balancer
        search.service = service
        search.packet = packet
        return search

    def end(self, flow: bytes) -> None:
        """Forget a search that is over."""
        self.searches.pop(flow, None)

    def record_absent(self, flow: bytes, agent: bytes) -> PendingSearch | None:
        """Note an agent that doesn't hold a flow.

        :return: the search, once no answer is missing.
        """
        search = self.searches.get(flow)
        if search is None:
            return None
        search.absent.add(agent)
        search.unanswered.discard(agent)
        return None if search.unanswered else search

    def _forget_old(self, *, now: float) -> None:
        """Drop searches that are over; the oldest stand first."""
        while self.searches:
            flow, search = next(iter(self.searches.items()))
            is_over = now - search.since > PENDING_SECONDS
            if not is_over and len(self.searches) < MAX_PENDING:
                return
            del self.searches[flow]
