"""Readiness of a daemon for new traffic."""

from __future__ import annotations

from attrs import define, field


@define(kw_only=True)
class Readiness:
    """Conditions that must all hold before a daemon is ready.

    :param unmet: names of the conditions that are not met.
    :param leaving: True once the daemon drains; it never becomes ready again.
    """

    unmet: set[str] = field(factory=set)
    leaving: bool = False

    @property
    def ready(self) -> bool:
        """True while the daemon accepts new traffic."""
        return not self.leaving and not self.unmet

    def set(self, condition: str, met: bool) -> None:
        """Record whether a condition is met."""
        if met:
            self.unmet.discard(condition)
        else:
            self.unmet.add(condition)
