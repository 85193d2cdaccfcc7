"""How the agent that holds a flow is searched for, and when a search gives up.

After many balancers or agents were lost at once, every open flow is unknown to some
process. A balancer may have a slow processor and a narrow link, so it asks one agent,
and that agent asks the others. One packet of each flow is enough to find its agent.
Repeated packets of a flow that no agent holds must not reach the whole fleet each
time.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable

from msgspec import Struct, field

BURST_PACKETS = 6
"""Packets of one flow that may cause a search in one period: a request rarely fills
more."""
FIRST_PERIOD_SECONDS = 0.15
"""Shorter than the first retransmission of a client (200 ms)."""
LONGEST_PERIOD_SECONDS = 1.5
"""Just below the longest pause between retransmissions of a client (1.6 s)."""
MAX_PENDING = 4_096
"""Searches that an agent keeps; more come only after the whole fleet has failed."""
FIRST_REPEAT_SECONDS = 0.05
"""Time after which an agent repeats unanswered queries. Agents that lost power
together begin some tenths of a second apart; clients repeat a packet later."""
LONGEST_REPEAT_SECONDS = 0.4
WIDEN_SECONDS = 0.1
"""Time after which a search no longer waits for the agents of the flow's route. One
that is frozen or gone must not keep it from the agent that holds the flow. By then the
queries have been repeated once, so a single lost datagram doesn't widen a search."""
PENDING_SECONDS = 2.0
"""Time after which a search is dropped: the client has repeated the packet by then."""


class SearchBudget(Struct, kw_only=True):
    """Limits the searches that the packets of one flow cause.

    Each period allows ``BURST_PACKETS`` searches and is twice as long as the one
    before, up to ``LONGEST_PERIOD_SECONDS``. In each period another agent is asked.

    :param packets: searches counted in the present period.
    :param period_seconds: length of the present period.
    :param since: monotonic time in seconds at which the present period began.
    :param rounds: number of periods that are over.
    """

    since: float
    packets: int = 0
    rounds: int = 0
    period_seconds: float = FIRST_PERIOD_SECONDS

    def try_take(self, *, now: float) -> bool:
        """Count one search, and return whether it is within the budget."""
        if now - self.since >= self.period_seconds:
            self.since = now
            self.packets = 0
            self.rounds += 1
            self.period_seconds = min(2.0 * self.period_seconds, LONGEST_PERIOD_SECONDS)
        if self.packets >= BURST_PACKETS:
            return False
        self.packets += 1
        return True


class SearchStep(enum.Enum):
    """The next step of an agent that carries out a search."""

    WAIT = "wait"
    WIDEN = "widen"
    """Ask the agents of all other services: the route may have named them before."""
    GIVE_UP = "give-up"
    """No agent holds the flow."""


class PendingSearch(Struct, kw_only=True):
    """A search that an agent carries out for a balancer.

    :param balancer: the balancer that gets the outcome.
    :param service: tag of the service at which the flow most likely is.
    :param packet: the latest packet of the flow, for agents that are asked later.
    :param since: monotonic time at which the search began.
    :param pause_seconds: time until unanswered queries are repeated.
    :param is_wide: True once the agents of services that the flow's route doesn't
        name are asked, too.
    :param absent: agents whose upstream doesn't hold the flow.
    :param unanswered: agents that were asked and have not answered.
    """

    balancer: bytes
    service: int
    packet: bytes
    since: float
    pause_seconds: float = FIRST_REPEAT_SECONDS
    is_wide: bool = False
    absent: set[bytes] = field(default_factory=set)
    unanswered: set[bytes] = field(default_factory=set)

    def select_unanswered(self, agents: Iterable[bytes]) -> list[bytes]:
        """Return the agents that have not answered, and record that they are asked."""
        asked = [agent for agent in agents if agent not in self.absent]
        self.unanswered.update(asked)
        return asked

    def next_pause(self, *, now: float) -> float | None:
        """Return the seconds until unanswered queries are repeated, or None for never.

        The pause doubles, so that an agent that is gone costs a few queries for each
        search.
        """
        if now - self.since > PENDING_SECONDS:
            return None
        pause = self.pause_seconds
        self.pause_seconds = min(2.0 * pause, LONGEST_REPEAT_SECONDS)
        return pause

    def next_step(
        self,
        *,
        route_agents: Collection[bytes],
        all_agents: Collection[bytes],
        own: bytes,
        now: float,
    ) -> SearchStep:
        """Return the step that follows from the answers so far.

        The search gives up only on the answers of every agent, however long that takes:
        a silent one may hold the flow.

        :param route_agents: agents of the services that the flow's route names.
        :param all_agents: every agent of the fleet that the asking agent knows. If
            it lacks the asking agent, it is incomplete and the search waits.
        :param own: the asking agent.
        """
        if own not in all_agents:
            return SearchStep.WAIT
        if self.absent.issuperset(all_agents):
            return SearchStep.GIVE_UP
        is_overdue = now - self.since >= WIDEN_SECONDS
        may_widen = is_overdue or self.absent.issuperset(route_agents)
        return SearchStep.WIDEN if may_widen and not self.is_wide else SearchStep.WAIT


class PendingSearches:
    """The searches that one agent carries out, by flow."""

    def __init__(self) -> None:
        self.searches: dict[bytes, PendingSearch] = {}

    def begin(
        self, flow: bytes, *, balancer: bytes, service: int, packet: bytes, now: float
    ) -> PendingSearch:
        """Begin a search; a repeated one keeps the answers received so far."""
        self._drop_expired(now=now)
        search = self.searches.get(flow)
        if search is None:
            search = self.searches[flow] = PendingSearch(
                balancer=balancer,
                service=service,
                packet=packet,
                since=now,
            )
        search.balancer = balancer
        search.service = service
        search.packet = packet
        return search

    def end(self, flow: bytes) -> None:
        """Delete a search whose outcome is known."""
        self.searches.pop(flow, None)

    def record_absent(self, flow: bytes, agent: bytes) -> PendingSearch | None:
        """Record that an agent doesn't hold a flow.

        :return: the search if every asked agent has answered, else None.
        """
        search = self.searches.get(flow)
        if search is None:
            return None
        search.absent.add(agent)
        search.unanswered.discard(agent)
        return None if search.unanswered else search

    def _drop_expired(self, *, now: float) -> None:
        """Delete expired searches, and the oldest ones beyond ``MAX_PENDING``."""
        while self.searches:
            flow, search = next(iter(self.searches.items()))
            is_expired = now - search.since > PENDING_SECONDS
            if not is_expired and len(self.searches) < MAX_PENDING:
                return
            del self.searches[flow]
