"""Which balancers carry an agent's packets back to callers.

Only an answer to a probe proves a path in both directions. A balancer whose
packets arrive may still be cut off in the direction of the replies.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from daisygauge_records import Endpoint, Instance, Role

from ._rendezvous import rank

PATHS = 8
PROBE_SECONDS = 0.3
HEARD_SECONDS = 1.0


class ReturnPaths:
    """The balancers of one agent's replies.

    :param agent: id of the agent; agents of a large fleet use other subsets.
    :param paths: balancers probed in normal times.
    """

    def __init__(self, *, agent: str, paths: int = PATHS) -> None:
        self.agent = agent
        self.paths = paths
        self.known: tuple[Endpoint, ...] = ()
        self.leaving: frozenset[Endpoint] = frozenset()
        self.heard: dict[Endpoint, float] = {}
        self._turn = 0

    def update_balancers(self, instances: Iterable[Instance]) -> None:
        """Take in the instance list; entries of other roles are ignored."""
        balancers = [entry for entry in instances if entry.role is Role.BALANCER]
        staying = self._spread([entry for entry in balancers if not entry.leaving])
        leaving = self._spread([entry for entry in balancers if entry.leaving])
        self.known = tuple(entry.inner for entry in staying + leaving)
        self.leaving = frozenset(entry.inner for entry in leaving)
        known = frozenset(self.known)
        self.heard = {path: at for path, at in self.heard.items() if path in known}

    def _spread(self, balancers: list[Instance]) -> list[Instance]:
        """Order balancers by rendezvous, failure domains in turn."""
        by_id = {entry.id: entry for entry in balancers}
        seed = xxh3_64_intdigest(self.agent.encode())
        domains: dict[str, list[Instance]] = {}
        for name in rank(by_id, seed=seed):
            entry = by_id[name]
            domains.setdefault(entry.failure_domain, []).append(entry)
        rows = itertools.zip_longest(*domains.values())
        return [entry for row in rows for entry in row if entry is not None]

    def report_answer(self, balancer: Endpoint, *, now: float) -> None:
        """Note that a balancer has answered a probe."""
        self.heard[balancer] = now

    def probe_targets(self, *, now: float) -> tuple[Endpoint, ...]:
        """Return the balancers to probe, twice as many when most are silent."""
        usual = self.known[: self.paths]
        if 2 * len(self._alive(usual, now=now)) >= len(usual):
            return usual
        return self.known[: 2 * self.paths]

    def usable(self, *, now: float) -> tuple[Endpoint, ...]:
        """Return the balancers heard lately, or all known when none is heard.

        A leaving balancer still carries packets, but only when no other does.
        """
        alive = self._alive(self.known, now=now)
        staying = tuple(path for path in alive if path not in self.leaving)
        return staying or alive or self.known

    def choose(self, *, now: float) -> Endpoint | None:
        """Return the balancer for the next packet, or None when none is known."""
        usable = self.usable(now=now)
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]

    def _alive(self, paths: Iterable[Endpoint], *, now: float) -> tuple[Endpoint, ...]:
        oldest = now - HEARD_SECONDS
        return tuple(
            path for path in paths if self.heard.get(path, float("-inf")) >= oldest
        )
