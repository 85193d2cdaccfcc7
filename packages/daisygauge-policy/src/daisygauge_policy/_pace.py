"""How fast a host that has started or recovered gets new flows.

The load that this module addresses: a host comes back during traffic and is slow for
some seconds. It holds no flow, so its slots look free and it is the least busy of the
agents that are asked; it is given more flows than it can serve at that speed, and their
requests wait. Long flows stay where they were opened, so what matters is the rate of
new flows: it starts small, grows while responses take as long as the host's settled
ones, and shrinks while they are slower, fail or are missing.

A host that is due no flow counts as busier by a request, so that others go first while
they are as loaded as it is. A host without a request takes a flow in any case.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from msgspec import Struct

FIRST_SHARE = 0.125
"""Rate at the start and lowest rate, as a share of the requests a second that the host
runs when settled."""
LAST_SHARE = 2.0
"""Rate at which the limit is lifted, as such a share: new flows come less often than
this, so that the limit no longer holds any back."""
DOUBLING_SECONDS = 0.3
"""Time in which the rate doubles while responses are as fast as settled ones."""
LONGEST_STEP_SECONDS = 0.2
"""A pause without responses counts as growth for at most this time."""
DECREASE = 0.5
DECREASE_INTERVAL_SECONDS = 0.2
"""The rate shrinks once in this time: responses that were under way together say the
same."""
SLOW_RATIO = 1.3
"""Responses are slow if their mean is this many times the settled mean. A lower ratio
takes the usual scatter of a mean of few responses for a slow host."""
RATIO_WEIGHT = 0.2
"""Weight of a new response in the moving mean, which spans about five."""
SETTLED_WEIGHT = 0.02
"""Weight of a new response in the settled mean, which spans about fifty."""
MIN_SETTLED_RESPONSES = 20
"""Responses after which the settled mean is known."""
FAILURES_BEFORE_RECOVERY = 3
"""After this many failures in a row the next response counts as a recovery."""
DEFAULT_SLOW_SECONDS = 2.0
"""Assumed time for which a host is slow after its start, if nothing gives it."""
LONGEST_PACE = 2.0
"""Slow times after which the limit is lifted in any case: a new release may be slower
than the settled mean, and a host isn't left idle for long."""
MIN_SETTLED_SHARE = 0.5
"""Share of the other hosts that must be settled for a limit. After a loss of everything
there is no host that flows could go to instead."""


class Pace:
    """A limit on the rate of new flows of one host.

    :param slots: returns the number of requests that the host runs at a time.
    :ivar rate: flows a second, or None for no limit.
    :ivar settled_seconds: mean service time while there is no limit.
    """

    def __init__(self, *, slots: Callable[[], int]) -> None:
        self.slots = slots
        self.rate: float | None = None
        self.settled_seconds = 0.0
        self.settled_responses = 0
        self.ratio = 1.0
        self.failures = 0
        self.lifted_at = -math.inf
        self._taken_at = -math.inf
        self._stepped_at = -math.inf
        self._shrunk_at = -math.inf

    @property
    def is_settled_known(self) -> bool:
        """True once the mean of settled service times is known."""
        return self.settled_responses >= MIN_SETTLED_RESPONSES

    @property
    def settled_rate(self) -> float:
        """Requests a second that the host runs when settled."""
        return self.slots() / self.settled_seconds

    def start(self, *, slow_seconds: float, now: float) -> bool:
        """Limit the host, which has started or recovered; return True if it is limited.

        Nothing is limited while no settled mean is known.

        :param slow_seconds: time for which a host is slow after its start, or 0.
        """
        if not self.is_settled_known or not self.settled_seconds:
            return False
        self.rate = FIRST_SHARE * self.settled_rate
        self.ratio = 1.0
        self.failures = 0
        self.lifted_at = now + LONGEST_PACE * (slow_seconds or DEFAULT_SLOW_SECONDS)
        self._stepped_at = now
        return True

    def record_response(self, seconds: float, *, now: float) -> None:
        """Record the service time of a request that the host has answered."""
        if self.failures >= FAILURES_BEFORE_RECOVERY:
            self.start(slow_seconds=0.0, now=now)
        self.failures = 0
        self._lift_when_due(now=now)
        if self.rate is None:
            self.settled_responses += 1
            weight = max(SETTLED_WEIGHT, 1.0 / self.settled_responses)
            self.settled_seconds += weight * (seconds - self.settled_seconds)
            return
        self.ratio += RATIO_WEIGHT * (seconds / self.settled_seconds - self.ratio)
        if self.ratio > SLOW_RATIO:
            self._shrink(now=now)
        else:
            self._grow(now=now)

    def record_failure(self, *, now: float) -> None:
        """Record a request that the host refused, failed or has left unanswered."""
        self.failures += 1
        if self.rate is not None:
            self._shrink(now=now)

    def may_take(self, *, is_idle: bool, now: float) -> bool:
        """Return True if the host takes a new flow like a settled one.

        :param is_idle: True if no request runs, waits or is expected.
        """
        self._lift_when_due(now=now)
        return self.rate is None or is_idle or now - self._taken_at >= 1.0 / self.rate

    def record_taken(self, *, now: float) -> None:
        """Record a new flow of the host."""
        self._taken_at = now

    def _grow(self, *, now: float) -> None:
        step = min(now - self._stepped_at, LONGEST_STEP_SECONDS)
        self._stepped_at = now
        self.rate *= 2.0 ** (step / DOUBLING_SECONDS)
        if self.rate >= LAST_SHARE * self.settled_rate:
            self.rate = None

    def _shrink(self, *, now: float) -> None:
        self._stepped_at = now
        if now - self._shrunk_at < DECREASE_INTERVAL_SECONDS:
            return
        self._shrunk_at = now
        self.rate = max(DECREASE * self.rate, FIRST_SHARE * self.settled_rate)

    def _lift_when_due(self, *, now: float) -> None:
        if now >= self.lifted_at:
            self.rate = None


class PeerEntry(Struct, kw_only=True, frozen=True):
    """What the directory lists of another host of the service.

    :param slow_start_seconds: remaining time for which it is slow, when written.
    """

    id: str
    incarnation: int
    slow_start_seconds: float


class SettledPeers:
    """Tells whether enough other hosts are settled to take a limited host's flows."""

    def __init__(self) -> None:
        self.slow_until: dict[tuple[str, int], float] = {}

    def observe(self, entries: Iterable[PeerEntry], *, now: float) -> None:
        """Record the other hosts; an entry's time counts from its first sight."""
        self.slow_until = {
            (entry.id, entry.incarnation): self.slow_until.get(
                (entry.id, entry.incarnation), now + entry.slow_start_seconds
            )
            for entry in entries
        }

    def are_enough(self, *, now: float) -> bool:
        """Return True if at least ``MIN_SETTLED_SHARE`` of the others are settled."""
        settled = sum(1 for until in self.slow_until.values() if now >= until)
        needed = MIN_SETTLED_SHARE * len(self.slow_until)
        return settled >= max(needed, 1.0)
