"""Which requests wait at an agent, and in which order they run.

The worth queue runs the earliest deadline first. Whenever the expected
schedule would make a request late, the least worth for its slot time among the
requests up to the late one is refused (the weighted form of the Moore-Hodgson
algorithm for the fewest late jobs). Refusals come before a run, so they are
truthfully "not run".
"""

from __future__ import annotations

import enum
import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from attrs import frozen

from daisygauge_records import FifoQueue, Queue

SHORTEST_RETRY_SECONDS = 0.1
SHORTEST_SERVICE_SECONDS = 1e-4
# Until the upstream answers again, a queue without slots makes no progress.
BLOCKED_SECONDS = 1.0


class RefusalReason(enum.Enum):
    """Why a request is answered "not run"."""

    LATE = "deadline-not-met"
    FULL = "queue-full"
    CALLER_SHARE = "caller-share"
    LEAVING = "leaving"


@frozen(kw_only=True)
class WaitingRequest:
    """A request that has not run.

    :param worth: value when it is answered whole and in time.
    :param expected_seconds: expected time in a slot.
    :param arrived: Unix time in seconds.
    :param deadline: Unix time in seconds.
    """

    id: str
    caller: str
    worth: float
    expected_seconds: float
    arrived: float
    deadline: float

    @property
    def density(self) -> float:
        """Worth for each second of slot time."""
        return self.worth / max(self.expected_seconds, SHORTEST_SERVICE_SECONDS)


@frozen(kw_only=True)
class SlotUse:
    """The slots behind a queue.

    :param limit: requests that may run at once now.
    :param expected_ends: expected end of each running request, Unix seconds.
    """

    limit: int
    expected_ends: tuple[float, ...] = ()

    def free_times(self, *, now: float) -> list[float]:
        """Return when each slot is expected to be free, earliest first."""
        if self.limit <= 0:
            return [now + BLOCKED_SECONDS]
        ends = sorted((max(now, end) for end in self.expected_ends), reverse=True)
        idle = [now] * (self.limit - len(ends))
        return idle + ends[: self.limit][::-1]


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """The request will not run here.

    :param retry_after_seconds: when a new try is expected to succeed.
    """

    request: WaitingRequest
    reason: RefusalReason
    retry_after_seconds: float


@dataclass(frozen=True, kw_only=True)
class Admit:
    """The request waits for a slot.

    :param refused: requests that made room for it.
    """

    refused: tuple[Refuse, ...] = ()


class AdmissionQueue:
    """The bounded queue of one agent.

    :param queue: the queue policy of the service record.
    :param slots: published slots of the host.
    :param caller_share: largest share of the queue for one caller.
    """

    def __init__(self, queue: Queue, *, slots: int, caller_share: float) -> None:
        self.queue = queue
        self.capacity = max(1, queue.capacity_per_slot * slots)
        self.caller_capacity = max(1, int(self.capacity * caller_share))
        self.waiting: list[WaitingRequest] = []

    def __len__(self) -> int:
        return len(self.waiting)

    def offer(
        self, request: WaitingRequest, *, slots: SlotUse, now: float
    ) -> Admit | Refuse:
        """Let a request wait, or refuse it, or others of less worth.

        An arrival never lowers the worth that is expected to be answered.
        """
        before = self.waiting
        self.waiting = sorted([*before, request], key=self._order)
        refused = [
            *self._refuse_over_share(request.caller, slots=slots, now=now),
            *self._refuse_overfull(slots=slots, now=now),
            *self._refuse_late(slots=slots, now=now),
        ]
        own = next((entry for entry in refused if entry.request is request), None)
        if (
            own is None
            and sum(entry.request.worth for entry in refused) > request.worth
        ):
            own = self._make_refusal(
                request, reason=refused[-1].reason, slots=slots, now=now
            )
        if own is None:
            return Admit(refused=tuple(refused))
        self.waiting = before
        return own

    def take_next(self, *, now: float) -> WaitingRequest | None:
        """Remove and return the request to run now, if one waits.

        The caller refuses late requests first, see :meth:`refuse_late`.
        """
        return self.waiting.pop(0) if self.waiting else None

    def refuse_late(self, *, slots: SlotUse, now: float) -> tuple[Refuse, ...]:
        """Remove and return requests that are no longer expected in time."""
        return tuple(self._refuse_late(slots=slots, now=now))

    def refuse_all(self, *, slots: SlotUse, now: float) -> tuple[Refuse, ...]:
        """Remove and return every request because the host leaves."""
        return tuple(
            self._refuse(request, reason=RefusalReason.LEAVING, slots=slots, now=now)
            for request in tuple(self.waiting)
        )

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request that was cancelled or handed to a peer."""
        for index, request in enumerate(self.waiting):
            if request.id == request_id:
                return self.waiting.pop(index)
        return None

    def _order(self, request: WaitingRequest) -> tuple[float, float, str]:
        match self.queue:
            case FifoQueue():
                return (0.0, request.arrived, request.id)
        return (request.deadline, request.arrived, request.id)

    def _refuse_over_share(
        self, caller: str, *, slots: SlotUse, now: float
    ) -> list[Refuse]:
        own = [request for request in self.waiting if request.caller == caller]
        if len(own) <= self.caller_capacity:
            return []
        victim = self._find_least(own)
        return [
            self._refuse(
                victim, reason=RefusalReason.CALLER_SHARE, slots=slots, now=now
            )
        ]

    def _refuse_overfull(self, *, slots: SlotUse, now: float) -> list[Refuse]:
        if len(self.waiting) <= self.capacity:
            return []
        victim = self._find_least(self.waiting)
        return [self._refuse(victim, reason=RefusalReason.FULL, slots=slots, now=now)]

    def _refuse_late(self, *, slots: SlotUse, now: float) -> list[Refuse]:
        refused = []
        while (late := self._find_late(slots=slots, now=now)) is not None:
            victim = self._find_least(self.waiting[: late + 1])
            refused.append(
                self._refuse(victim, reason=RefusalReason.LATE, slots=slots, now=now)
            )
        return refused

    def _find_late(self, *, slots: SlotUse, now: float) -> int | None:
        """Return the place of the first request that is expected too late."""
        if isinstance(self.queue, FifoQueue):
            return next(
                (
                    index
                    for index, request in enumerate(self.waiting)
                    if now >= request.deadline
                ),
                None,
            )
        free = slots.free_times(now=now)
        for index, request in enumerate(self.waiting):
            end = free[0] + request.expected_seconds
            if end > request.deadline:
                return index
            heapq.heapreplace(free, end)
        return None

    def _find_least(self, requests: Sequence[WaitingRequest]) -> WaitingRequest:
        """Return the request to give up; the last one in a queue by arrival."""
        match self.queue:
            case FifoQueue():
                return requests[-1]
        return min(reversed(requests), key=lambda request: request.density)

    def _refuse(
        self,
        request: WaitingRequest,
        *,
        reason: RefusalReason,
        slots: SlotUse,
        now: float,
    ) -> Refuse:
        self.waiting = [other for other in self.waiting if other is not request]
        return self._make_refusal(request, reason=reason, slots=slots, now=now)

    def _make_refusal(
        self,
        request: WaitingRequest,
        *,
        reason: RefusalReason,
        slots: SlotUse,
        now: float,
    ) -> Refuse:
        """Build a refusal; half the expected time to drain is a fair new try."""
        free = slots.free_times(now=now)
        queued = sum(entry.expected_seconds for entry in self.waiting) / len(free)
        drained = free[0] - now + queued
        return Refuse(
            request=request,
            reason=reason,
            retry_after_seconds=max(SHORTEST_RETRY_SECONDS, drained / 2.0),
        )
