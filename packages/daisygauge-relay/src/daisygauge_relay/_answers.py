"""Whether the upstream answers or fails its requests.

The upstream's packets are classified here; ``OutlierDetector`` decides what follows
for new flows.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from daisygauge_policy import (
    OpeningReason,
    OutlierChange,
    OutlierDetector,
    OutlierEjected,
    OutlierReturned,
    OutliersCommon,
    RequestScheduler,
)
from daisygauge_wire import OpenFrame

from . import _events as events
from ._flows import AgentFlow, FlowTable
from ._packet import PacketCodec
from ._runtime import RelayRuntime

FIRST_FAILED_STATUS = 500
OVERDUE_SERVICE_TIMES = 8.0
"""A running request that takes longer than this many mean service times counts as
failed, until it is answered. Its slot is freed later, see ``STUCK_SERVICE_TIMES``."""
SHORTEST_OVERDUE_SECONDS = 0.4
LONGEST_OVERDUE_SECONDS = 2.0
SILENT_OVERDUE_SECONDS = 1.0
"""Shortest time until a request counts as failed while the upstream answers no other
one: it may be stalled, and opening packets then show whether it is silent."""
LATE_FACTOR = 1.5
"""An answer that came late extends the limit for the next ones to this multiple of its
time, so that slow requests among fast ones don't count as failed every time."""
LATE_DECAY = 0.99
"""Factor by which each answer shortens an extended limit."""
PAUSE_SECONDS = 0.5
"""Interval between ticks above which the agent itself was stopped; ticks come every
0.05 s."""


class FailureReason(enum.Enum):
    """How the upstream failed a request."""

    STATUS = "status"
    """It answered with status 500 or above."""
    ENDED = "ended"
    """It ended the flow without an answer."""
    OVERDUE = "overdue"
    """It has not answered for long."""


class Answers:
    """Records answers and failures of the upstream; a soft ``FlowLimit``.

    Overdue requests are looked for when a flow is offered, so no timer is needed.
    ``record_asked`` is called with each opening packet before ``check``.

    :param hosts: returns the number of hosts of the upstream's service.
    :ivar asked: the newest opening packet's frame.
    :ivar overdue: flows whose running request counts as failed because it is overdue.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        codec: PacketCodec,
        scheduler: RequestScheduler,
        flows: FlowTable[AgentFlow],
        hosts: Callable[[], int],
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.scheduler = scheduler
        self.flows = flows
        self.hosts = hosts
        self.outlier = OutlierDetector(hosts=hosts)
        self.asked: OpenFrame | None = None
        self.overdue: set[bytes] = set()
        self.late_limit = 0.0
        self.last_answer_at = float("-inf")
        self.ticked_at: float | None = None
        self.resumed_at = float("-inf")

    # The interface of FlowLimit.

    def check(self, *, now: float) -> OpeningReason | None:
        """Return FAILING when another upstream should take the flow, else None.

        An ejected upstream takes no flow of another service: that one's own upstreams
        run it at worst late.
        """
        self.find_overdue(now=now)
        frame = self.asked
        if frame is None or frame.home_service is not None:
            is_ejected = self.outlier.is_ejected(now=now)
            return OpeningReason.FAILING if is_ejected else None
        admits = self.outlier.admits(
            hops=frame.hops,
            best_load=frame.best and frame.best.load,
            slots=self.scheduler.slots() or 1,
            now=now,
        )
        return None if admits else OpeningReason.FAILING

    def record_taken(self, *, now: float) -> None:
        """Record that a flow's opening packet is delivered to the upstream."""
        self.outlier.record_taken(now=now)

    # What the agent sees.

    def record_asked(self, frame: OpenFrame, now: float) -> None:
        """Record an opening packet; visits and final hops tell nothing of peers."""
        self.asked = frame
        if frame.home_service is not None or frame.has_crossed or frame.final:
            return
        change = self.outlier.record_opening(
            hops=frame.hops, has_willing=frame.best is not None, now=now
        )
        self.report(change)

    def record_answer(self, flow: bytes, data: bytes, *, now: float) -> None:
        """Record the first packet of an answer.

        A refusal for overload is neither good nor a failure of the host.
        """
        self.last_answer_at = now
        self.late_limit *= LATE_DECAY
        was_overdue = flow in self.overdue
        self.overdue.discard(flow)
        status = self.codec.read_status(data)
        failed = status is not None and status >= FIRST_FAILED_STATUS
        if self.codec.is_refusal(data):
            if was_overdue:
                self.outlier.withdraw_failure(now=now)
        elif not was_overdue:
            self.record_response(FailureReason.STATUS if failed else None, now=now)
        elif not failed:
            self.withdraw(flow, now=now)

    def withdraw(self, flow: bytes, *, now: float) -> None:
        """Take back the failure of an overdue request, which is answered after all."""
        self.outlier.withdraw_failure(now=now)
        began = self.scheduler.running.get(flow)
        if began is not None:
            late_limit = LATE_FACTOR * (now - began)
            self.late_limit = max(self.late_limit, late_limit)

    def record_ended(self, flow: bytes, *, now: float) -> None:
        """Record that the upstream has ended a flow with its request unanswered.

        A request that still waits here has not reached the upstream, which may close
        an idle flow.
        """
        was_overdue = flow in self.overdue
        self.overdue.discard(flow)
        if flow in self.scheduler.running and not was_overdue:
            self.record_response(FailureReason.ENDED, now=now)

    def tick(self, *, now: float) -> None:
        """Record that the agent runs."""
        if self.is_resuming(now=now):
            self.resumed_at = now
        self.ticked_at = now

    def is_resuming(self, *, now: float) -> bool:
        """Return True after a pause of the agent itself, until its next tick."""
        return self.ticked_at is not None and now - self.ticked_at > PAUSE_SECONDS

    def find_overdue(self, *, now: float) -> None:
        """Count running requests that are overdue as failed, each one once.

        After a pause of the agent, answers that came meanwhile are still to be read.
        """
        if self.is_resuming(now=now):
            return
        self.overdue &= self.scheduler.running.keys()
        limit = self.find_limit()
        for flow, began in self.scheduler.running.items():
            has_others = self.last_answer_at > began
            wait = limit if has_others else max(limit, SILENT_OVERDUE_SECONDS)
            if now - max(began, self.resumed_at) < wait or flow in self.overdue:
                continue
            entry = self.flows.get(flow)
            if entry is None or entry.has_ended:
                # Its client has given up.
                continue
            self.overdue.add(flow)
            self.record_response(FailureReason.OVERDUE, now=now)

    def find_limit(self) -> float:
        """Return the time in seconds after which a running request is overdue."""
        mean = OVERDUE_SERVICE_TIMES * self.scheduler.service_seconds
        limit = max(mean, self.late_limit, SHORTEST_OVERDUE_SECONDS)
        return min(limit, LONGEST_OVERDUE_SECONDS)

    def record_response(self, failure: FailureReason | None, *, now: float) -> None:
        """Record a good response, or why there is none."""
        if failure is not None:
            self.runtime.counters.failed[failure.value] += 1
        change = self.outlier.record_response(failed=failure is not None, now=now)
        self.report(change)

    def report(self, change: OutlierChange | None) -> None:
        """Log a change of the decision."""
        match change:
            case OutlierEjected():
                self.runtime.log.write(
                    events.OUTLIER_EJECTED,
                    failed_share=round(change.failed_share, 3),
                    usual_share=round(change.usual_share, 3),
                    repeated=change.is_repeated,
                    hosts=self.hosts(),
                )
            case OutlierReturned():
                self.runtime.log.write(
                    events.OUTLIER_RETURNED, seconds=round(change.seconds, 3)
                )
            case OutliersCommon():
                self.runtime.log.write(
                    events.OUTLIERS_COMMON,
                    failed_share=round(change.failed_share, 3),
                    usual_share=round(change.usual_share, 3),
                    peer_score=round(change.peer_score, 1),
                    hosts=self.hosts(),
                )
