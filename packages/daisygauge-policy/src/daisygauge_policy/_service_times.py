"""Measured time that requests of each class occupy a slot."""

from __future__ import annotations

SMOOTHING = 0.1
INITIAL_SECONDS = 0.1


class ServiceTimes:
    """Exponentially smoothed service time of each request class."""

    def __init__(self) -> None:
        self._by_class: dict[str, float] = {}
        self.overall_seconds = INITIAL_SECONDS
        self._is_measured = False

    def observe(self, request_class: str, *, seconds: float) -> None:
        """Record the service time of a completed run."""
        self._by_class[request_class] = _smooth(
            self._by_class.get(request_class), seconds
        )
        overall = self.overall_seconds if self._is_measured else None
        self.overall_seconds = _smooth(overall, seconds)
        self._is_measured = True

    def expected_seconds(self, request_class: str) -> float:
        """Return the mean time of a class, or of all classes before its first run."""
        return self._by_class.get(request_class, self.overall_seconds)


def _smooth(old: float | None, new: float) -> float:
    return new if old is None else old + SMOOTHING * (new - old)
