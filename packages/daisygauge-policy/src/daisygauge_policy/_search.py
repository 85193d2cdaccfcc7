"""How a balancer has the agent of a flow found, and how often it may.

It answers the load after many balancers or agents were lost at once: every open
flow is then unknown somewhere. A balancer may have a slow processor and a narrow
link, so it asks one agent, and that one asks the others. One packet of each flow
finds its agent; packets of flows that nobody holds must not cost the fleet's size
each time they are repeated.
"""

from __future__ import annotations

from collections.abc import Iterable

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

    def take(self, *, now: float) -> bool:
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


class PendingSearch(Struct, kw_only=True):
    """A search that an agent carries out for a balancer.

    :param balancer: who is told the outcome.
    :param service: tag of the service at which the flow may be.
    :param since: monotonic time at which it began.
    :param absent: agents whose upstream doesn't hold the flow.
    """

    balancer: bytes
    service: int
    since: float
    absent: set[bytes] = field(default_factory=set)


class PendingSearches:
    """Gathers what the agents of a service say of searched flows."""

    def __init__(self) -> None:
        self.searches: dict[bytes, PendingSearch] = {}

    def begin(self, flow: bytes, *, balancer: bytes, service: int, now: float) -> None:
        """Follow a search; a repeated one goes on with what is known."""
        self._forget_old(now=now)
        search = self.searches.get(flow)
        if search is not None and search.service == service:
            search.balancer = balancer
            return
        self.searches[flow] = PendingSearch(
            balancer=balancer, service=service, since=now
        )

    def end(self, flow: bytes) -> None:
        """Forget a search whose flow is found."""
        self.searches.pop(flow, None)

    def note_absent(self, flow: bytes, agent: bytes) -> PendingSearch | None:
        """Note an agent that doesn't hold a flow; returns the search it is part of."""
        search = self.searches.get(flow)
        if search is not None:
            search.absent.add(agent)
        return search

    def _forget_old(self, *, now: float) -> None:
        """Drop searches that are over; the oldest stand first."""
        while self.searches:
            flow, search = next(iter(self.searches.items()))
            is_over = now - search.since > PENDING_SECONDS
            if not is_over and len(self.searches) < MAX_PENDING:
                return
            del self.searches[flow]


def is_nowhere(search: PendingSearch, agents: Iterable[bytes], *, own: bytes) -> bool:
    """Tell whether no agent of a service holds a flow.

    :param agents: every agent of the service, as the asking agent knows them. A list
        without the asking agent itself is not to be trusted.
    """
    agents = frozenset(agents)
    return own in agents and search.absent >= agents
