"""Which request of an open flow goes to the upstream next.

An upstream runs what reaches it in order of arrival. After an outage, or when it is
slow, that order serves requests whose client has nearly given up before those that
could still be answered in time, and everything is late. So an agent sends on only as
many requests as the upstream runs at a time, and keeps the others in an order of its
own. The load it answers: the seconds after many processes were lost at once, and
bursts above what the upstreams can run.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from msgspec import Struct, field

SPARE_REQUESTS = 1
"""Requests sent beyond the slots, so that none stands empty for a crossing."""
FIRST_SERVICE_SECONDS = 0.05
"""Assumed service time before an answer was seen."""
SERVICE_WEIGHT = 0.1
"""Weight of a new service time in the mean; about ten answers make it."""
DEADLINE_MARGIN = 1.5
"""Mean service times that must be left before a deadline: many answers take longer than
the mean."""
STUCK_SERVICE_TIMES = 4.0
"""A request that runs longer than this many mean service times doesn't hold others
back: its answer may have been lost."""
LEAST_STUCK_SECONDS = 0.3
LONGEST_STUCK_SECONDS = 2.0


class ScheduledRequest(Struct, kw_only=True):
    """A request at the scheduler.

    :param priority: 0 is the most important.
    :param target_at: monotonic time until which an answer is on time.
    :param deadline_at: monotonic time at which the client gives up.
    """

    flow: bytes
    priority: int
    target_at: float = math.inf
    deadline_at: float = math.inf


class Prospect(enum.IntEnum):
    """What the client of a waiting request may still get; lower goes first."""

    IN_TIME = 0
    LATE = 1
    UNLIKELY = 2
    """Its client will most likely have given up. It runs when nothing else waits, since
    the service time may be shorter than before."""


class SchedulerChange(Struct, kw_only=True):
    """What the scheduler lets go.

    :param sent: flows whose request goes to the upstream now, in order.
    :param expired: flows whose request has not run and whose client has given up.
    """

    sent: list[bytes] = field(default_factory=list)
    expired: list[bytes] = field(default_factory=list)


class RequestScheduler:
    """Keeps as many requests at the upstream as it runs at a time.

    :param slots: tells how many that is; None lets everything through.
    """

    def __init__(self, *, slots: Callable[[], int | None]) -> None:
        self.slots = slots
        self.running: dict[bytes, float] = {}
        self.waiting: dict[bytes, ScheduledRequest] = {}
        self.service_seconds = FIRST_SERVICE_SECONDS

    def load(self, *, now: float) -> int:
        """Return the requests that run at the upstream or wait for it."""
        return self.count_running(now=now) + len(self.waiting)

    def count_running(self, *, now: float) -> int:
        """Return the requests at the upstream whose answer may still come."""
        stuck_seconds = min(
            max(STUCK_SERVICE_TIMES * self.service_seconds, LEAST_STUCK_SECONDS),
            LONGEST_STUCK_SECONDS,
        )
        return sum(1 for began in self.running.values() if now - began < stuck_seconds)

    def submit(self, request: ScheduledRequest, *, now: float) -> SchedulerChange:
        """Take a request in."""
        self.waiting[request.flow] = request
        return self.dispatch(now=now)

    def end(self, flow: bytes, *, now: float) -> SchedulerChange:
        """Note that the upstream answers, or that the flow is over."""
        began = self.running.pop(flow, None)
        self.waiting.pop(flow, None)
        return SchedulerChange() if began is None else self.dispatch(now=now)

    def record_service_time(self, seconds: float) -> None:
        """Learn how long the upstream takes."""
        self.service_seconds += SERVICE_WEIGHT * (seconds - self.service_seconds)

    def dispatch(self, *, now: float) -> SchedulerChange:
        """Send on what the upstream has room for, and drop what is too late."""
        change = SchedulerChange(expired=self._expire(now=now))
        room = self._room(now=now)
        while self.waiting and room > 0:
            flow = min(self.waiting, key=lambda flow: self._rank(flow, now=now))
            del self.waiting[flow]
            self.running[flow] = now
            change.sent.append(flow)
            room -= 1
        return change

    def _expire(self, *, now: float) -> list[bytes]:
        expired = [
            flow for flow, request in self.waiting.items() if now >= request.deadline_at
        ]
        for flow in expired:
            del self.waiting[flow]
        return expired

    def _room(self, *, now: float) -> float:
        slots = self.slots()
        if slots is None:
            return math.inf
        return slots + SPARE_REQUESTS - self.count_running(now=now)

    def _rank(self, flow: bytes, *, now: float) -> tuple[Prospect, int, float]:
        """Order requests by what their client may still get, then by priority."""
        request = self.waiting[flow]
        if now + self.service_seconds <= request.target_at:
            prospect = Prospect.IN_TIME
        elif now + DEADLINE_MARGIN * self.service_seconds <= request.deadline_at:
            prospect = Prospect.LATE
        else:
            prospect = Prospect.UNLIKELY
        return prospect, request.priority, request.target_at
