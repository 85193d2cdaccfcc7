"""Choice of the processes that watch the platform on behalf of the others.

The platform counts every call of every process. Therefore only a few agents, the
watchers, watch it, and the others follow a watcher. The choice depends only on the
hosts that every process knows. Nothing is lost where processes disagree: any process
answers any other, and every reply carries the age of its data.
"""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

MIN_WATCHERS = 3
"""Two may fail at once without interrupting the updates of the others."""
HOSTS_PER_WATCHER = 24
"""There is one watcher for this number of hosts. It answers each of its followers
about once a second."""


def choose_agent_watchers(agents: Iterable[str]) -> tuple[str, ...]:
    """Return the addresses of the agents that watch the platform."""
    ranked = sorted(set(agents), key=_watcher_order)
    count = max(MIN_WATCHERS, -(-len(ranked) // HOSTS_PER_WATCHER))
    return tuple(ranked[:count])


def order_watchers(watchers: Iterable[str], *, follower: str) -> tuple[str, ...]:
    """Return the watchers in the order in which a follower tries them."""
    return tuple(
        sorted(
            watchers,
            key=lambda watcher: xxh3_64_intdigest(f"{follower}|{watcher}".encode()),
        )
    )


def _watcher_order(agent: str) -> int:
    return xxh3_64_intdigest(agent.encode())
