"""Which requests wait at an agent, and in which order they run.

The worth queue runs the earliest deadline first. When a request is expected to
be late, the queue refuses the request with the least worth per slot time among
those up to the late one (the weighted form of the Moore-Hodgson algorithm for
the fewest late jobs). Requests are refused only before they run, so the answer
"not run" is true.
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
# Assumed wait for a slot while there is none: a queue without slots makes no progress
# until the upstream answers again.
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

    :param worth: value of a complete answer in time.
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
        """Worth per second of slot time."""
        return self.worth / max(self.expected_seconds, SHORTEST_SERVICE_SECONDS)


@frozen(kw_only=True)
class SlotUse:
    """The slots that serve a queue.

    :param limit: requests that may run at once at present.
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

    :param retry_after_seconds: time after which a retry is expected to succeed.
    """

    request: WaitingRequest
    reason: RefusalReason
    retry_after_seconds: float


@dataclass(frozen=True, kw_only=True)
class Admit:
    """The request waits for a slot.

    :param refused: requests refused to make room for it.
    """

    refused: tuple[Refuse, ...] = ()


class AdmissionQueue:
    """The bounded queue of one agent.

    :param queue: the queue policy of the service record.
    :param slots: published slots of the host.
    :param caller_share: largest share of the queue that one caller may use.
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
        """Admit a request, refusing others if needed, or refuse it.

        Requests refused for an admitted one are together worth no more than it, so
        an arrival never lowers the worth that is expected to be answered.
        """
        waiting_before = self.waiting
        self.waiting = sorted([*waiting_before, request], key=self._sort_key)
        refused = [
            *self._refuse_over_share(request.caller, slots=slots, now=now),
            *self._refuse_overfull(slots=slots, now=now),
            *self._refuse_late(slots=slots, now=now),
        ]
        refusal = next((entry for entry in refused if entry.request is request), None)
        if (
            refusal is None
            and sum(entry.request.worth for entry in refused) > request.worth
        ):
            refusal = self._make_refusal(
                request, reason=refused[-1].reason, slots=slots, now=now
            )
        if refusal is None:
            return Admit(refused=tuple(refused))
        self.waiting = waiting_before
        return refusal

    def take_next(self) -> WaitingRequest | None:
        """Remove and return the request to run now, if one waits.

        Late requests must be refused first with :meth:`refuse_late`.
        """
        return self.waiting.pop(0) if self.waiting else None

    def refuse_late(self, *, slots: SlotUse, now: float) -> tuple[Refuse, ...]:
        """Remove and return the requests no longer expected to be in time."""
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

    def _sort_key(self, request: WaitingRequest) -> tuple[float, float, str]:
        match self.queue:
            case FifoQueue():
                return (0.0, request.arrived, request.id)
        return (request.deadline, request.arrived, request.id)

    def _refuse_over_share(
        self, caller: str, *, slots: SlotUse, now: float
    ) -> list[Refuse]:
        requests = [request for request in self.waiting if request.caller == caller]
        if len(requests) <= self.caller_capacity:
            return []
        least_worth = self._find_least_worth(requests)
        return [
            self._refuse(
                least_worth, reason=RefusalReason.CALLER_SHARE, slots=slots, now=now
            )
        ]

    def _refuse_overfull(self, *, slots: SlotUse, now: float) -> list[Refuse]:
        if len(self.waiting) <= self.capacity:
            return []
        least_worth = self._find_least_worth(self.waiting)
        return [
            self._refuse(least_worth, reason=RefusalReason.FULL, slots=slots, now=now)
        ]

    def _refuse_late(self, *, slots: SlotUse, now: float) -> list[Refuse]:
        refused = []
        while (late := self._find_first_late(slots=slots, now=now)) is not None:
            least_worth = self._find_least_worth(self.waiting[: late + 1])
            refused.append(
                self._refuse(
                    least_worth, reason=RefusalReason.LATE, slots=slots, now=now
                )
            )
        return refused

    def _find_first_late(self, *, slots: SlotUse, now: float) -> int | None:
        """Return the index of the first request that is expected to be late."""
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

    def _find_least_worth(self, requests: Sequence[WaitingRequest]) -> WaitingRequest:
        """Return the request with the least worth per slot time, in a FIFO the last."""
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
        """Build a refusal.

        A retry may follow after half the time until the queue is expected to be
        empty.
        """
        free = slots.free_times(now=now)
        queued = sum(entry.expected_seconds for entry in self.waiting) / len(free)
        drained = free[0] - now + queued
        return Refuse(
            request=request,
            reason=reason,
            retry_after_seconds=max(SHORTEST_RETRY_SECONDS, drained / 2.0),
        )
