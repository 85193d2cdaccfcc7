"""Peers that did not answer lately."""

from __future__ import annotations

import random

from attrs import frozen

from ._backoff import backoff_seconds

FIRST_SECONDS = 2.0
LONGEST_SECONDS = 60.0


@frozen(kw_only=True)
class _Suspicion:
    failures: int
    until: float


class Suspicions:
    """Remembers whom not to follow for a while; longer with every failure."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.entries: dict[str, _Suspicion] = {}

    def note_failure(self, peer: str, *, now: float) -> None:
        """Suspect a peer.

        :param now: monotonic time in seconds.
        """
        known = self.entries.get(peer)
        failures = 1 if known is None else known.failures + 1
        seconds = backoff_seconds(
            failures, rng=self.rng, first=FIRST_SECONDS, longest=LONGEST_SECONDS
        )
        self.entries[peer] = _Suspicion(failures=failures, until=now + seconds)

    def note_success(self, peer: str) -> None:
        """Trust a peer again."""
        self.entries.pop(peer, None)

    def current(self, *, now: float) -> frozenset[str]:
        """Return the peers that are suspect now."""
        return frozenset(
            peer for peer, entry in self.entries.items() if now < entry.until
        )

    def forget_others(self, known: set[str]) -> None:
        """Drop peers that have left the instance list."""
        self.entries = {
            peer: entry for peer, entry in self.entries.items() if peer in known
        }
