"""Which request of an open flow goes to the upstream next.

An upstream runs requests in order of arrival. After an outage, or when the upstream
is slow, that order serves requests whose client is about to give up before those
that could still be answered in time, and all answers are late. An agent therefore
forwards only as many requests as the upstream runs at a time, and orders the waiting
ones itself. This matters in the seconds after many processes were lost at once, and
in bursts above the capacity of the upstreams.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from msgspec import Struct, field

SPARE_REQUESTS = 1
"""Requests sent beyond the slots, so that no slot is idle for a network transit."""
INITIAL_SERVICE_SECONDS = 0.05
"""Assumed service time before the first answer."""
SERVICE_WEIGHT = 0.1
"""Weight of a new service time in the moving mean, which spans about ten answers."""
DEADLINE_MARGIN = 1.5
"""Mean service times that must remain before a deadline: many answers take longer than
the mean."""
STUCK_SERVICE_TIMES = 10.0
"""A request that runs longer than this many mean service times doesn't occupy a slot
any more: its upstream has most likely crashed. A busy upstream takes several mean
service times for some requests; one more would only wait in its queue."""
SHORTEST_STUCK_SECONDS = 1.0
LONGEST_STUCK_SECONDS = 2.0


class ScheduledRequest(Struct, kw_only=True):
    """A request that waits for a slot of the upstream.

    :param priority: 0 is the most important.
    :param target_at: monotonic time until which an answer is on time.
    :param deadline_at: monotonic time at which the client gives up.
    """

    flow: bytes
    priority: int
    target_at: float = math.inf
    deadline_at: float = math.inf


class Timeliness(enum.IntEnum):
    """How timely the answer to a waiting request can still be; lower runs first."""

    IN_TIME = 0
    LATE = 1
    UNLIKELY = 2
    """The client will most likely have given up. The request runs when no other waits,
    because the service time may be shorter than before."""


class SchedulerChange(Struct, kw_only=True):
    """Requests that have stopped waiting.

    :param sent: flows whose request goes to the upstream now, in order.
    :param expired: flows whose request has not run and whose client has given up.
    """

    sent: list[bytes] = field(default_factory=list)
    expired: list[bytes] = field(default_factory=list)


class RequestScheduler:
    """Limits the requests at the upstream to those that it runs at a time.

    :param slots: returns the slots of the upstream; None means no limit.
    """

    def __init__(self, *, slots: Callable[[], int | None]) -> None:
        self.slots = slots
        self.running: dict[bytes, float] = {}
        self.waiting: dict[bytes, ScheduledRequest] = {}
        self.service_seconds = INITIAL_SERVICE_SECONDS

    def load(self, *, now: float) -> int:
        """Return the number of requests that run at the upstream or wait for it."""
        return self.count_running(now=now) + len(self.waiting)

    def count_running(self, *, now: float) -> int:
        """Return the number of running requests whose answer may still come."""
        stuck_seconds = min(
            max(STUCK_SERVICE_TIMES * self.service_seconds, SHORTEST_STUCK_SECONDS),
            LONGEST_STUCK_SECONDS,
        )
        return sum(1 for began in self.running.values() if now - began < stuck_seconds)

    def submit(self, request: ScheduledRequest, *, now: float) -> SchedulerChange:
        """Add a request, and dispatch those that may run now."""
        self.waiting[request.flow] = request
        return self.dispatch(now=now)

    def end(self, flow: bytes, *, now: float) -> SchedulerChange:
        """Record that the upstream has answered, or that the flow has ended."""
        began = self.running.pop(flow, None)
        self.waiting.pop(flow, None)
        return SchedulerChange() if began is None else self.dispatch(now=now)

    def record_service_time(self, seconds: float) -> None:
        """Add a service time to the moving mean."""
        self.service_seconds += SERVICE_WEIGHT * (seconds - self.service_seconds)

    def dispatch(self, *, now: float) -> SchedulerChange:
        """Dispatch requests while slots are free, and drop the expired ones."""
        change = SchedulerChange(expired=self._expire(now=now))
        free_slots = self._free_slots(now=now)
        while self.waiting and free_slots > 0:
            flow = min(self.waiting, key=lambda flow: self._rank(flow, now=now))
            del self.waiting[flow]
            self.running[flow] = now
            change.sent.append(flow)
            free_slots -= 1
        return change

    def _expire(self, *, now: float) -> list[bytes]:
        expired = [
            flow for flow, request in self.waiting.items() if now >= request.deadline_at
        ]
        for flow in expired:
            del self.waiting[flow]
        return expired

    def _free_slots(self, *, now: float) -> float:
        slots = self.slots()
        if slots is None:
            return math.inf
        return slots + SPARE_REQUESTS - self.count_running(now=now)

    def _rank(self, flow: bytes, *, now: float) -> tuple[Timeliness, int, float]:
        """Return the sort key: timeliness, then priority, then the target time."""
        request = self.waiting[flow]
        if now + self.service_seconds <= request.target_at:
            timeliness = Timeliness.IN_TIME
        elif now + DEADLINE_MARGIN * self.service_seconds <= request.deadline_at:
            timeliness = Timeliness.LATE
        else:
            timeliness = Timeliness.UNLIKELY
        return timeliness, request.priority, request.target_at
