"""Runs requests at the upstream, within its slots and their deadlines."""

from __future__ import annotations

from ._metrics import AgentMetrics
from ._model import Answer, Body, NotRun, Outcome, Request
from ._node import AgentNode
from ._slots import RefusedError, Slots
from ._upstream import UpstreamClient


class Executor:
    """Runs a request here, or says that it did not run."""

    def __init__(
        self,
        *,
        node: AgentNode,
        slots: Slots,
        upstream: UpstreamClient,
        metrics: AgentMetrics,
    ) -> None:
        self.node = node
        self.slots = slots
        self.upstream = upstream
        self.metrics = metrics

    async def run(self, request: Request, *, body: Body, answer: Answer) -> Outcome:
        """Wait for a slot and run the request at the upstream."""
        try:
            async with self.slots.hold(request):
                # The process may have been paused while the request waited.
                if self.node.now() >= request.deadline:
                    return NotRun(reason="deadline")
                return await self.upstream.run(request, body=body, answer=answer)
        except RefusedError as refusal:
            return refusal.outcome
