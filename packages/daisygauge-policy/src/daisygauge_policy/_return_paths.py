"""Which balancers forward an agent's replies to callers.

Only an answer to a probe proves a path in both directions. A balancer whose
packets arrive may still be unreachable in the direction of the replies.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from daisygauge_records import Endpoint, Instance, Role

from ._rendezvous import rank

PATHS = 8
PROBE_SECONDS = 0.3
ANSWER_VALID_SECONDS = 1.0


class ReturnPaths:
    """The balancers that one agent may send replies through.

    :param agent: id of the agent; agents of a large fleet use different subsets.
    :param paths: balancers probed while most of them answer.
    """

    def __init__(self, *, agent: str, paths: int = PATHS) -> None:
        self.agent = agent
        self.paths = paths
        self.known: tuple[Endpoint, ...] = ()
        self.leaving: frozenset[Endpoint] = frozenset()
        self.answered_at: dict[Endpoint, float] = {}
        self._turn = 0

    def update_balancers(self, instances: Iterable[Instance]) -> None:
        """Update the balancers from the instance list; other roles are ignored."""
        balancers = [entry for entry in instances if entry.role is Role.BALANCER]
        staying = self._order_by_domain(
            [entry for entry in balancers if not entry.leaving]
        )
        leaving = self._order_by_domain([entry for entry in balancers if entry.leaving])
        self.known = tuple(entry.inner for entry in staying + leaving)
        self.leaving = frozenset(entry.inner for entry in leaving)
        known = frozenset(self.known)
        self.answered_at = {
            path: at for path, at in self.answered_at.items() if path in known
        }

    def _order_by_domain(self, balancers: list[Instance]) -> list[Instance]:
        """Order balancers by rendezvous hashing, taking failure domains in turn."""
        by_id = {entry.id: entry for entry in balancers}
        seed = xxh3_64_intdigest(self.agent.encode())
        domains: dict[str, list[Instance]] = {}
        for name in rank(by_id, seed=seed):
            entry = by_id[name]
            domains.setdefault(entry.failure_domain, []).append(entry)
        rows = itertools.zip_longest(*domains.values())
        return [entry for row in rows for entry in row if entry is not None]

    def report_answer(self, balancer: Endpoint, *, now: float) -> None:
        """Record that a balancer has answered a probe."""
        self.answered_at[balancer] = now

    def probe_targets(self, *, now: float) -> tuple[Endpoint, ...]:
        """Return the balancers to probe, twice as many when most don't answer."""
        usual = self.known[: self.paths]
        if 2 * len(self._answering(usual, now=now)) >= len(usual):
            return usual
        return self.known[: 2 * self.paths]

    def usable(self, *, now: float) -> tuple[Endpoint, ...]:
        """Return the balancers that answered recently, or all known if none did.

        A leaving balancer still forwards packets, but is used only when no other
        balancer answers.
        """
        answering = self._answering(self.known, now=now)
        staying = tuple(path for path in answering if path not in self.leaving)
        return staying or answering or self.known

    def choose(self, *, now: float) -> Endpoint | None:
        """Return the balancer for the next packet, or None when none is known."""
        usable = self.usable(now=now)
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]

    def _answering(
        self, paths: Iterable[Endpoint], *, now: float
    ) -> tuple[Endpoint, ...]:
        earliest = now - ANSWER_VALID_SECONDS
        return tuple(
            path
            for path in paths
            if self.answered_at.get(path, float("-inf")) >= earliest
        )
