"""Where a request runs: here, at a peer, or nowhere."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from daisygauge_policy import HandToPeer, RefusalReason, Refuse, RetryBudget, RunEnd
from daisygauge_wire import LoadReport

from . import _events as events
from ._bodies import ReplayBody
from ._metrics import AgentMetrics
from ._model import Answer, Answered, NotRun, Outcome, Request, Shed, Unknown
from ._node import AgentNode
from ._peer_calls import PeerCalls
from ._peers import Peers
from ._slots import Slots, Start, describe_end
from ._upstream import UpstreamClient

OUTCOME_LABELS = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}


class LoadReader(Protocol):
    """Where the agent's own load is known."""

    def build_load_report(self, *, sequence: int) -> LoadReport:
        """Return the load now."""


class Router:
    """Runs requests within slots, deadlines and the retry budget.

    Only a request that has not run, or one of an idempotent class, is tried a
    second time.

    :param may_run: tells whether the host may still begin requests.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        slots: Slots,
        peers: Peers,
        calls: PeerCalls,
        upstream: UpstreamClient,
        metrics: AgentMetrics,
        load: LoadReader,
        may_run: Callable[[], bool],
    ) -> None:
        self.node = node
        self.slots = slots
        self.peers = peers
        self.calls = calls
        self.upstream = upstream
        self.metrics = metrics
        self.load = load
        self.may_run = may_run
        self.budget = RetryBudget(share=0.0, now=node.now())

    def own_load_report(self) -> LoadReport:
        """Return this host's load, which no peer is sent."""
        return self.load.build_load_report(sequence=0)

    async def run(self, request: Request, body: ReplayBody, answer: Answer) -> Outcome:
        """Run a request once; a second time only where that is safe."""
        if request.request_class.streaming:
            return await self.run_streaming(request, body, answer)
        if request.handed_off:
            return await self.run_here(request, body, answer)
        self.budget.share = self.node.service.retry_share
        self.budget.record_first_try()
        if self.is_probe(request):
            return await self.run_here(request, body, answer, fixed=True)
        decision = self.peers.choose(self.own_load_report())
        if decision is None:
            return await self.run_here(request, body, answer)
        return await self.move(decision, request, body, answer, reason="load")

    def is_probe(self, request: Request) -> bool:
        """Tell whether a request tries an upstream that stopped answering.

        Without it all would go to peers, and a recovered upstream stay unused.
        """
        return self.slots.limit.is_probe_due(
            repeatable=request.request_class.idempotent, now=self.node.now()
        )

    async def run_streaming(
        self, request: Request, body: ReplayBody, answer: Answer
    ) -> Outcome:
        """Run a long answer, which needs no slot."""
        if not self.may_run():
            return NotRun(reason=RefusalReason.LEAVING.value)
        self.log_route(request, target=self.node.settings.id, reason="streaming")
        self.slots.streaming += 1
        try:
            return await self.upstream.run(request, body=body, answer=answer)
        finally:
            self.slots.streaming -= 1

    async def run_here(
        self,
        request: Request,
        body: ReplayBody,
        answer: Answer,
        *,
        fixed: bool = False,
    ) -> Outcome:
        """Wait for a slot and run the request at the upstream.

        :param fixed: True for a request that must not move to a peer again.
        """
        if not self.may_run():
            return NotRun(reason=RefusalReason.LEAVING.value)
        fixed = fixed or request.handed_off
        slot_id = self.slots.next_id()
        turn = await self.slots.wait_turn(request, slot_id=slot_id, fixed=fixed)
        match turn:
            case Refuse(reason=reason, retry_after_seconds=seconds):
                self.log_route(request, target="none", reason=reason.value)
                return NotRun(reason=reason.value, retry_after=seconds)
            case HandToPeer():
                return await self.move(turn, request, body, answer, reason="waited")
            case Start():
                outcome = await self.run_in_slot(request, body, answer, slot_id=slot_id)
        if fixed or isinstance(outcome, Answered):
            return await self.conclude(outcome, answer)
        return await self.try_elsewhere(outcome, request, body, answer)

    async def move(
        self,
        decision: HandToPeer,
        request: Request,
        body: ReplayBody,
        answer: Answer,
        *,
        reason: str,
    ) -> Outcome:
        """Hand a request over, and run it here when that fails and may be done."""
        outcome = await self.hand_off(decision, request, body, answer, reason=reason)
        if not self.is_repeatable(outcome, request, body, answer):
            return outcome
        if isinstance(outcome, Unknown):
            if not self.budget.try_retry(now=self.node.now()):
                return outcome
        second = await self.run_here(request, body, answer, fixed=True)
        return combine(outcome, second)

    async def run_in_slot(
        self, request: Request, body: ReplayBody, answer: Answer, *, slot_id: str
    ) -> Outcome | Shed:
        """Run a request that has a slot, and learn from how it ended."""
        how = RunEnd.CANCELLED
        started = self.node.now()
        try:
            # The process may have been paused while the request waited.
            if started >= request.deadline:
                return NotRun(reason=RefusalReason.LATE.value)
            self.log_route(request, target=self.node.settings.id, reason="slot")
            idempotent = request.request_class.idempotent
            outcome = await self.upstream.run(
                request,
                body=body,
                answer=answer,
                keep_back_shed=idempotent and not request.handed_off,
            )
            how = RunEnd.SHED if isinstance(outcome, Shed) else describe_end(outcome)
        finally:
            self.slots.end(slot_id, how=how)
        if how is RunEnd.COMPLETED:
            self.slots.observe(request, seconds=self.node.now() - started)
        return outcome

    async def try_elsewhere(
        self,
        outcome: Outcome | Shed,
        request: Request,
        body: ReplayBody,
        answer: Answer,
    ) -> Outcome:
        """Give a failed request to a peer when that is safe and affordable."""
        decision = None
        if self.is_repeatable(outcome, request, body, answer):
            decision = self.peers.choose_other(self.own_load_report())
        if decision is not None and self.budget.try_retry(now=self.node.now()):
            second = await self.hand_off(
                decision, request, body, answer, reason="retry"
            )
            outcome = combine(outcome, second)
        return await self.conclude(outcome, answer)

    def is_repeatable(
        self,
        outcome: Outcome | Shed,
        request: Request,
        body: ReplayBody,
        answer: Answer,
    ) -> bool:
        """Tell whether another try can't run a request twice against its class."""
        if request.handed_off or answer.started:
            return False
        match outcome:
            case NotRun():
                return self.can_repeat(request, body)
            case Shed() | Unknown():
                idempotent = request.request_class.idempotent
                return idempotent and self.can_repeat(request, body)
        return False

    def can_repeat(self, request: Request, body: ReplayBody) -> bool:
        """Tell whether there is time, and the body is at hand."""
        return body.replayable and self.node.now() < request.deadline

    async def conclude(self, outcome: Outcome | Shed, answer: Answer) -> Outcome:
        """Give the caller a refusal of the upstream that was kept back."""
        if not isinstance(outcome, Shed):
            return outcome
        shed = outcome
        await answer.send_head(status=shed.status, headers=shed.headers)
        if shed.body:
            await answer.send_body(shed.body)
        await answer.send_end()
        return Answered(status=shed.status)

    async def hand_off(
        self,
        decision: HandToPeer,
        request: Request,
        body: ReplayBody,
        answer: Answer,
        *,
        reason: str,
    ) -> Outcome:
        """Have a peer run the request."""
        incarnation = self.peers.incarnation(decision.peer)
        if incarnation is None:
            return NotRun(reason="peer-unknown")
        self.log_route(request, target=decision.peer, reason=reason)
        body.rewind()
        with self.peers.count_sent(decision.peer):
            outcome = await self.calls.hand_off(
                decision.peer,
                incarnation=incarnation,
                request=request,
                body=body,
                answer=answer,
            )
        body.rewind()
        self.metrics.handed_off.labels(OUTCOME_LABELS[type(outcome)]).inc()
        return outcome

    def log_route(self, request: Request, *, target: str, reason: str) -> None:
        """Log one routing decision."""
        self.node.log.write(
            events.REQUEST_ROUTED,
            request=request.id,
            request_class=request.request_class.name,
            target=target,
            reason=reason,
        )


def combine(first: Outcome | Shed, second: Outcome) -> Outcome | Shed:
    """Return the outcome of two tries; a refused second try undoes no first."""
    if isinstance(second, NotRun) and not isinstance(first, NotRun):
        return first
    return second
