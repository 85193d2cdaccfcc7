"""Routing of requests to this host's upstream, to a peer, or to a refusal."""

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
from ._peer_selection import PeerSelector
from ._slots import SlotGranted, Slots, classify_outcome
from ._upstream import UpstreamClient

OUTCOME_NAMES = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}


class LoadReader(Protocol):
    """Provides the agent's own load."""

    def build_load_report(self, *, sequence: int) -> LoadReport:
        """Return a report of the current load."""


class Router:
    """Runs requests within the limits of slots, deadlines and the retry budget.

    A request is tried a second time only if it has not run or its class is
    idempotent.

    :param may_run: returns whether the host may still start requests.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        slots: Slots,
        peer_selector: PeerSelector,
        calls: PeerCalls,
        upstream: UpstreamClient,
        metrics: AgentMetrics,
        load: LoadReader,
        may_run: Callable[[], bool],
    ) -> None:
        self.node = node
        self.slots = slots
        self.peer_selector = peer_selector
        self.calls = calls
        self.upstream = upstream
        self.metrics = metrics
        self.load = load
        self.may_run = may_run
        self.retry_budget = RetryBudget(share=0.0, now=node.now())

    def own_load_report(self) -> LoadReport:
        """Return a report of this host's load for local decisions."""
        return self.load.build_load_report(sequence=0)

    async def run(self, request: Request, body: ReplayBody, answer: Answer) -> Outcome:
        """Run a request here or at a peer, and retry it only where that is safe."""
        if request.request_class.streaming:
            return await self.run_streaming(request, body, answer)
        if request.handed_off:
            return await self.run_here(request, body, answer)
        self.retry_budget.share = self.node.service.retry_share
        self.retry_budget.record_first_try()
        if self.is_probe(request):
            return await self.run_here(request, body, answer, local_only=True)
        decision = self.peer_selector.choose(self.own_load_report())
        if decision is None:
            return await self.run_here(request, body, answer)
        return await self.try_peer_first(decision, request, body, answer, reason="load")

    def is_probe(self, request: Request) -> bool:
        """Return whether a request probes an upstream that stopped answering.

        Without probes every request would go to peers, and a recovered upstream
        would stay unused.
        """
        return self.slots.limit.is_probe_due(
            repeatable=request.request_class.idempotent, now=self.node.now()
        )

    async def run_streaming(
        self, request: Request, body: ReplayBody, answer: Answer
    ) -> Outcome:
        """Run a request of a streaming class, which needs no slot."""
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
        local_only: bool = False,
    ) -> Outcome:
        """Wait for a slot and run the request at the upstream.

        :param local_only: True for a request that must not be handed to a peer.
        """
        if not self.may_run():
            return NotRun(reason=RefusalReason.LEAVING.value)
        local_only = local_only or request.handed_off
        slot_id = self.slots.next_id()
        slot_decision = await self.slots.wait_for_slot(
            request, slot_id=slot_id, local_only=local_only
        )
        match slot_decision:
            case Refuse(reason=reason, retry_after_seconds=seconds):
                self.log_route(request, target="none", reason=reason.value)
                return NotRun(reason=reason.value, retry_after=seconds)
            case HandToPeer():
                return await self.try_peer_first(
                    slot_decision, request, body, answer, reason="waited"
                )
            case SlotGranted():
                outcome = await self.run_in_slot(request, body, answer, slot_id=slot_id)
        if local_only or isinstance(outcome, Answered):
            return await self.send_withheld_shed(outcome, answer)
        return await self.retry_at_peer(outcome, request, body, answer)

    async def try_peer_first(
        self,
        decision: HandToPeer,
        request: Request,
        body: ReplayBody,
        answer: Answer,
        *,
        reason: str,
    ) -> Outcome:
        """Hand a request to a peer; run it here if that fails and a retry is safe."""
        outcome = await self.hand_off(decision, request, body, answer, reason=reason)
        if not self.is_repeatable(outcome, request, body, answer):
            return outcome
        if isinstance(outcome, Unknown):
            if not self.retry_budget.try_retry(now=self.node.now()):
                return outcome
        second = await self.run_here(request, body, answer, local_only=True)
        return combine_outcomes(outcome, second)

    async def run_in_slot(
        self, request: Request, body: ReplayBody, answer: Answer, *, slot_id: str
    ) -> Outcome | Shed:
        """Run a request that holds a slot, and record how it ended."""
        run_end = RunEnd.CANCELLED
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
                withhold_shed=idempotent and not request.handed_off,
            )
            run_end = (
                RunEnd.SHED if isinstance(outcome, Shed) else classify_outcome(outcome)
            )
        finally:
            self.slots.release(slot_id, run_end=run_end)
        if run_end is RunEnd.COMPLETED:
            self.slots.record_run(request, seconds=self.node.now() - started)
        return outcome

    async def retry_at_peer(
        self,
        outcome: Outcome | Shed,
        request: Request,
        body: ReplayBody,
        answer: Answer,
    ) -> Outcome:
        """Retry a failed request at a peer if that is safe and within the budget."""
        decision = None
        if self.is_repeatable(outcome, request, body, answer):
            decision = self.peer_selector.choose_alternative(self.own_load_report())
        if decision is not None and self.retry_budget.try_retry(now=self.node.now()):
            second = await self.hand_off(
                decision, request, body, answer, reason="retry"
            )
            outcome = combine_outcomes(outcome, second)
        return await self.send_withheld_shed(outcome, answer)

    def is_repeatable(
        self,
        outcome: Outcome | Shed,
        request: Request,
        body: ReplayBody,
        answer: Answer,
    ) -> bool:
        """Return whether a retry is safe.

        A request that may have run is repeatable only in an idempotent class.
        """
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
        """Return whether the deadline is ahead and the whole body can be resent."""
        return body.replayable and self.node.now() < request.deadline

    async def send_withheld_shed(
        self, outcome: Outcome | Shed, answer: Answer
    ) -> Outcome:
        """Send the caller an overload refusal that was withheld."""
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
        """Hand the request to a peer and return its outcome."""
        incarnation = self.peer_selector.known_incarnation(decision.peer)
        if incarnation is None:
            return NotRun(reason="peer-unknown")
        self.log_route(request, target=decision.peer, reason=reason)
        body.rewind()
        with self.peer_selector.count_sent(decision.peer):
            outcome = await self.calls.hand_off(
                decision.peer,
                incarnation=incarnation,
                request=request,
                body=body,
                answer=answer,
            )
        body.rewind()
        self.metrics.handed_off.labels(OUTCOME_NAMES[type(outcome)]).inc()
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


def combine_outcomes(first: Outcome | Shed, second: Outcome) -> Outcome | Shed:
    """Return the outcome of two tries.

    If the second try was not run, the first try still determines whether the request
    may have run.
    """
    if isinstance(second, NotRun) and not isinstance(first, NotRun):
        return first
    return second
