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
    RecentRuns,
    Refuse,
    RunEnd,
    ServiceTimes,
    SlotUse,
    WaitingRequest,
)
from daisygauge_records import Queue, Service, Upstream

from ._model import Answered, NotRun, Outcome, Request, Unknown
from ._node import AgentNode

TICK_SECONDS = 0.05
STATUS_SHED = 503


@dataclass(frozen=True, kw_only=True)
class Start:
    """The request may run now; its end must be reported."""


Turn = Start | HandToPeer | Refuse


class Slots:
    """Lets requests run in the queue's order, as many as the upstream bears.

    :param choose_peer: decides whether a waiting request moves to a peer.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        choose_peer: Callable[[], HandToPeer | None],
    ) -> None:
        self.node = node
        self.choose_peer = choose_peer
        self.times = ServiceTimes()
        self.recent = RecentRuns()
        self.streaming = 0
        self.turns: dict[str, asyncio.Future[Turn]] = {}
        self.fixed: set[str] = set()
        self.started: dict[str, float] = {}
        self.numbers = itertools.count()
        self.queue: AdmissionQueue | None = None
        self.queue_policy: tuple[Queue, int, float] | None = None
        self.limit = ConcurrencyLimit(slots=1)

    @property
    def running(self) -> int:
        """Short requests at the upstream."""
        return len(self.started)

    @property
    def waiting(self) -> int:
        """Short requests that wait for a slot."""
        return len(self.queue) if self.queue is not None else 0

    def next_id(self) -> str:
        """Number a request; callers' own ids need not be unique."""
        return str(next(self.numbers))

    def follow_records(self) -> AdmissionQueue:
        """Return the queue under the records in force."""
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

    def use(self, *, now: float) -> SlotUse:
        """Describe the slots for the queue's decisions."""
        ends = tuple(
            run.started + run.expected_seconds for run in self.limit.running.values()
        )
        return SlotUse(limit=self.limit.allowed(now=now), expected_ends=ends)

    async def wait_turn(self, request: Request, *, slot_id: str, fixed: bool) -> Turn:
        """Wait until it is decided where a short request runs.

        :param fixed: True for a request that must not move to a peer (again).
        """
        queue = self.follow_records()
        now = self.node.now()
        waiting = WaitingRequest(
            id=slot_id,
            caller=request.caller.rpartition(":")[0],
            worth=request.request_class.worth,
            expected_seconds=self.times.expected_seconds(request.request_class.name),
            arrived=now,
            deadline=request.deadline,
        )
        decision = queue.offer(waiting, slots=self.use(now=now), now=now)
        if isinstance(decision, Refuse):
            return decision
        turn: asyncio.Future[Turn] = asyncio.get_running_loop().create_future()
        self.turns[slot_id] = turn
        if fixed:
            self.fixed.add(slot_id)
        for refusal in decision.refused:
            self.resolve(refusal.request.id, refusal)
        self.advance(now=now)
        try:
            return await turn
        except asyncio.CancelledError:
            queue.remove(slot_id)
            if slot_id in self.started:
                self.end(slot_id, how=RunEnd.CANCELLED)
            raise
        finally:
            self.turns.pop(slot_id, None)
            self.fixed.discard(slot_id)

    def resolve(self, slot_id: str, turn: Turn) -> None:
        """Tell a waiting request what was decided."""
        future = self.turns.get(slot_id)
        if future is not None and not future.done():
            future.set_result(turn)

    def advance(self, *, now: float) -> None:
        """Refuse what is late, start what may start, move what waits too long."""
        queue = self.follow_records()
        for refusal in queue.refuse_late(slots=self.use(now=now), now=now):
            self.resolve(refusal.request.id, refusal)
        while queue.waiting and self.limit.may_start(now=now):
            self.start(queue.take_next(now=now), now=now)

    def start(self, waiting: WaitingRequest | None, *, now: float) -> None:
        """Give a slot to a request."""
        if waiting is None:
            return
        self.limit.start(waiting.id, expected_seconds=waiting.expected_seconds, now=now)
        self.started[waiting.id] = now
        self.resolve(waiting.id, Start())

    def move_waiting(self) -> None:
        """Hand the request that would wait longest to a better peer."""
        if self.queue is None:
            return
        for waiting in reversed(self.queue.waiting):
            if waiting.id in self.fixed:
                continue
            decision = self.choose_peer()
            if decision is not None:
                self.queue.remove(waiting.id)
                self.resolve(waiting.id, decision)
            return

    def end(self, slot_id: str, *, how: RunEnd) -> None:
        """Free the slot of a request."""
        now = self.node.now()
        self.started.pop(slot_id, None)
        self.limit.end(slot_id, how=how, now=now)
        if self.queue is not None:
            self.advance(now=now)

    def observe(self, request: Request, *, seconds: float) -> None:
        """Learn from a completed run how long its class takes."""
        self.times.observe(request.request_class.name, seconds=seconds)
        self.recent.add(now=self.node.now())

    async def run(self) -> None:
        """Advance the queue when time alone changes it."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.queue is not None and self.queue.waiting:
                self.advance(now=self.node.now())
                self.move_waiting()


def describe_end(outcome: Outcome) -> RunEnd:
    """Say what a run's outcome tells of the upstream."""
    match outcome:
        case Answered(status=status) if status == STATUS_SHED:
            return RunEnd.SHED
        case Answered():
            return RunEnd.COMPLETED
        case NotRun() | Unknown():
            return RunEnd.FAILED
