"""Count of the requests that a host completed recently."""

from __future__ import annotations

import math

DECAY_SECONDS = 5.0


class RecentCompletions:
    """An exponentially decaying count of completed requests."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated = 0.0

    def add(self, *, now: float) -> None:
        """Count one completed request."""
        self._count = self.count(now=now) + 1.0
        self._updated = now

    def count(self, *, now: float) -> float:
        """Return the count; a request of ``DECAY_SECONDS`` ago counts 1/e."""
        age = max(0.0, now - self._updated)
        return self._count * math.exp(-age / DECAY_SECONDS)
