"""Peers that recently failed to respond."""

from __future__ import annotations

import random

from attrs import frozen

from ._backoff import backoff_seconds

FIRST_SECONDS = 2.0
MAX_SECONDS = 60.0


@frozen(kw_only=True)
class _Suspicion:
    failures: int
    until: float


class Suspicions:
    """Tracks suspect peers, which are not followed.

    The time for which a peer is suspect grows with every failure.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.entries: dict[str, _Suspicion] = {}

    def record_failure(self, peer: str, *, now: float) -> None:
        """Mark a peer as suspect.

        :param now: monotonic time in seconds.
        """
        known = self.entries.get(peer)
        failures = 1 if known is None else known.failures + 1
        seconds = backoff_seconds(
            failures, rng=self.rng, first=FIRST_SECONDS, maximum=MAX_SECONDS
        )
        self.entries[peer] = _Suspicion(failures=failures, until=now + seconds)

    def record_success(self, peer: str) -> None:
        """Clear the suspicion of a peer."""
        self.entries.pop(peer, None)

    def current(self, *, now: float) -> frozenset[str]:
        """Return the ids of the peers that are currently suspect."""
        return frozenset(
            peer for peer, entry in self.entries.items() if now < entry.until
        )

    def forget_others(self, known: set[str]) -> None:
        """Forget peers that are no longer on the instance list."""
        self.entries = {
            peer: entry for peer, entry in self.entries.items() if peer in known
        }
