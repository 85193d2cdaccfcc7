"""Limits on the new flows that one upstream takes."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from daisygauge_policy import OpeningReason


class FlowLimit(Protocol):
    """A reason for which an agent may pass new flows on for a while."""

    def check(self, *, now: float) -> OpeningReason | None:
        """Return why the upstream shouldn't take a flow now, or None.

        :param now: monotonic time in seconds.
        """
        ...

    def record_taken(self, *, now: float) -> None:
        """Record that a flow's opening packet is delivered to the upstream."""
        ...


class LoadPenalty(Protocol):
    """A reason for which an upstream counts as busier than its requests make it."""

    def find_extra_load(self, *, load: int, now: float) -> int:
        """Return the requests to add to the upstream's load for a new flow.

        :param load: requests that run, wait or are expected.
        """
        ...

    def record_taken(self, *, now: float) -> None:
        """Record that a flow's opening packet is delivered to the upstream."""
        ...


class FlowLimits(Struct, kw_only=True, frozen=True):
    """The limits of one upstream, each list in order of precedence.

    :param firm: limits that hold whatever other upstreams do.
    :param soft: limits that don't hold when no other upstream takes the flow.
    :param penalties: what is added to the load by which upstreams are compared.
    """

    firm: tuple[FlowLimit, ...] = ()
    soft: tuple[FlowLimit, ...] = ()
    penalties: tuple[LoadPenalty, ...] = ()

    def find_inability(self, *, now: float) -> OpeningReason | None:
        """Return the first firm limit that is reached, or None."""
        return _check(self.firm, now=now)

    def find_reluctance(self, *, now: float) -> OpeningReason | None:
        """Return the first soft limit that is reached, or None."""
        return _check(self.soft, now=now)

    def weigh(self, load: int, *, now: float) -> int:
        """Return an upstream's load with its penalties."""
        return load + sum(
            penalty.find_extra_load(load=load, now=now) for penalty in self.penalties
        )

    def record_taken(self, *, now: float) -> None:
        """Record a taken flow in every limit."""
        for limit in (*self.firm, *self.soft, *self.penalties):
            limit.record_taken(now=now)


def _check(limits: tuple[FlowLimit, ...], *, now: float) -> OpeningReason | None:
    reasons = (limit.check(now=now) for limit in limits)
    return next((reason for reason in reasons if reason is not None), None)
