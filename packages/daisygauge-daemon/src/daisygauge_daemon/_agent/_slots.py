"""The upstream's slots and the requests that wait for one."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from daisygauge_policy import (
    AdmissionQueue,
    ConcurrencyLimit,
    HandToPeer,
    RecentCompletions,
    Refuse,
    RunEnd,
    ServiceTimes,
    SlotUse,
    WaitingRequest,
)
from daisygauge_records import Queue, Service, Upstream

from ._model import Answered, NotRun, Outcome, Request, Unknown
from ._node import AgentNode

ADVANCE_INTERVAL_SECONDS = 0.05
"""How often the queue is advanced while nothing else advances it."""
STATUS_SHED = 503


@dataclass(frozen=True, kw_only=True)
class SlotGranted:
    """The request may run now; its slot must be released afterwards."""


SlotDecision = SlotGranted | HandToPeer | Refuse


class Slots:
    """Admits requests in the queue's order, within the upstream's concurrency limit.

    :param choose_peer: returns the peer that a waiting request should go to, if any.
    :ivar streaming: number of streaming requests, which need no slot.
    :ivar pending: decisions that requests wait for, by slot id.
    :ivar local_only: slot ids of requests that must not be handed to a peer.
    :ivar started: Unix time in seconds at which each running request started.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        choose_peer: Callable[[], HandToPeer | None],
    ) -> None:
        self.node = node
        self.choose_peer = choose_peer
        self.service_times = ServiceTimes()
        self.recent_completions = RecentCompletions()
        self.streaming = 0
        self.pending: dict[str, asyncio.Future[SlotDecision]] = {}
        self.local_only: set[str] = set()
        self.started: dict[str, float] = {}
        self.numbers = itertools.count()
        self.queue: AdmissionQueue | None = None
        self.queue_policy: tuple[Queue, int, float] | None = None
        self.limit = ConcurrencyLimit(slots=1)

    @property
    def running(self) -> int:
        """Number of non-streaming requests that run at the upstream."""
        return len(self.started)

    @property
    def waiting(self) -> int:
        """Number of non-streaming requests that wait for a slot."""
        return len(self.queue) if self.queue is not None else 0

    def next_id(self) -> str:
        """Return a unique slot id; request ids of callers need not be unique."""
        return str(next(self.numbers))

    def update_queue(self) -> AdmissionQueue:
        """Return the queue, rebuilt if the records changed its parameters."""
        service: Service = self.node.service
        upstream: Upstream = self.node.upstream
        policy = (service.queue, upstream.slots, service.caller_share)
        if policy != self.queue_policy or self.queue is None:
            waiting = [] if self.queue is None else self.queue.waiting
            self.queue = AdmissionQueue(
                service.queue, slots=upstream.slots, caller_share=service.caller_share
            )
            self.queue.waiting = waiting
            self.queue_policy = policy
            self.limit.slots = upstream.slots
            self.limit.limit = upstream.slots
        return self.queue

    def slot_use(self, *, now: float) -> SlotUse:
        """Return the limit and the expected ends of running requests for the queue."""
        ends = tuple(
            run.started + run.expected_seconds for run in self.limit.running.values()
        )
        return SlotUse(limit=self.limit.allowed(now=now), expected_ends=ends)

    async def wait_for_slot(
        self, request: Request, *, slot_id: str, local_only: bool
    ) -> SlotDecision:
        """Queue a request until it may run, is handed to a peer or is refused.

        :param local_only: True for a request that must not be handed to a peer.
        """
        queue = self.update_queue()
        now = self.node.now()
        waiting = WaitingRequest(
            id=slot_id,
            caller=request.caller.rpartition(":")[0],
            worth=request.request_class.worth,
            expected_seconds=self.service_times.expected_seconds(
                request.request_class.name
            ),
            arrived=now,
            deadline=request.deadline,
        )
        decision = queue.offer(waiting, slots=self.slot_use(now=now), now=now)
        if isinstance(decision, Refuse):
            return decision
        future: asyncio.Future[SlotDecision] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending[slot_id] = future
        if local_only:
            self.local_only.add(slot_id)
        for refusal in decision.refused:
            self.resolve(refusal.request.id, refusal)
        self.advance(now=now)
        try:
            return await future
        except asyncio.CancelledError:
            queue.remove(slot_id)
            if slot_id in self.started:
                self.release(slot_id, run_end=RunEnd.CANCELLED)
            raise
        finally:
            self.pending.pop(slot_id, None)
            self.local_only.discard(slot_id)

    def resolve(self, slot_id: str, slot_decision: SlotDecision) -> None:
        """Pass a decision to the request that waits for it."""
        future = self.pending.get(slot_id)
        if future is not None and not future.done():
            future.set_result(slot_decision)

    def advance(self, *, now: float) -> None:
        """Refuse requests that would miss their deadline; start those that may run."""
        queue = self.update_queue()
        for refusal in queue.refuse_late(slots=self.slot_use(now=now), now=now):
            self.resolve(refusal.request.id, refusal)
        while queue.waiting and self.limit.may_start(now=now):
            self.start(queue.take_next(), now=now)

    def start(self, waiting: WaitingRequest | None, *, now: float) -> None:
        """Give a slot to a request."""
        if waiting is None:
            return
        self.limit.start(waiting.id, expected_seconds=waiting.expected_seconds, now=now)
        self.started[waiting.id] = now
        self.resolve(waiting.id, SlotGranted())

    def hand_off_waiting(self) -> None:
        """Hand the last request of the queue to a less loaded peer, if there is one.

        The last request has the longest wait ahead. Requests in ``local_only`` are
        skipped.
        """
        if self.queue is None:
            return
        for waiting in reversed(self.queue.waiting):
            if waiting.id in self.local_only:
                continue
            decision = self.choose_peer()
            if decision is not None:
                self.queue.remove(waiting.id)
                self.resolve(waiting.id, decision)
            return

    def release(self, slot_id: str, *, run_end: RunEnd) -> None:
        """Free the slot of a request and admit waiting ones.

        :param run_end: how the request ended.
        """
        now = self.node.now()
        self.started.pop(slot_id, None)
        self.limit.end(slot_id, how=run_end, now=now)
        if self.queue is not None:
            self.advance(now=now)

    def record_run(self, request: Request, *, seconds: float) -> None:
        """Record a completed run in the estimate of its class's service time."""
        self.service_times.observe(request.request_class.name, seconds=seconds)
        self.recent_completions.add(now=self.node.now())

    async def run(self) -> None:
        """Advance the queue and hand off a waiting request periodically.

        Deadlines pass without an event that would advance the queue.
        """
        while True:
            await asyncio.sleep(ADVANCE_INTERVAL_SECONDS)
            if self.queue is not None and self.queue.waiting:
                self.advance(now=self.node.now())
                self.hand_off_waiting()


def classify_outcome(outcome: Outcome) -> RunEnd:
    """Map the outcome of a run to its effect on the concurrency limit."""
    match outcome:
        case Answered(status=status) if status == STATUS_SHED:
            return RunEnd.SHED
        case Answered():
            return RunEnd.COMPLETED
        case NotRun() | Unknown():
            return RunEnd.FAILED
