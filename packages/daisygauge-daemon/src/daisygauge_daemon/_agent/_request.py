"""Entry point of callers' requests."""

from __future__ import annotations

import asyncio
import traceback

from aioquic.h3.connection import ErrorCode

from . import _events as events
from ._answers import STATUS_MALFORMED, CallerAnswer
from ._bodies import ReplayBody
from ._headers import MalformedRequestError, read_request
from ._idempotency import IdempotencyHandler
from ._metrics import AgentMetrics
from ._model import Answered, NotRun, Outcome, Request, Unknown
from ._node import AgentNode, NotConfiguredError
from ._routing import Router
from ._streams import RequestStream

OUTCOME_NAMES = {Answered: "answered", NotRun: "not-run", Unknown: "unknown"}


class RequestServer:
    """Parses a request, runs it and sends the outcome to the caller."""

    def __init__(
        self,
        *,
        node: AgentNode,
        router: Router,
        idempotency: IdempotencyHandler,
        metrics: AgentMetrics,
    ) -> None:
        self.node = node
        self.router = router
        self.idempotency = idempotency
        self.metrics = metrics

    async def serve(
        self, stream: RequestStream, fields: list[tuple[bytes, bytes]], caller: str
    ) -> None:
        """Answer one request; the task is cancelled when the caller cancels it."""
        answer = CallerAnswer(stream=stream, host=self.node.host)
        try:
            request = read_request(
                fields,
                service=self.node.service,
                caller=caller,
                fallback_id=f"{caller}/{stream.stream_id}",
                now=self.node.now(),
            )
        except MalformedRequestError as error:
            await answer.refuse(
                status=STATUS_MALFORMED, outcome=b"not-run", reason=str(error)
            )
            return
        except NotConfiguredError:
            await answer.finish(NotRun(reason="not-configured"))
            return
        await self.serve_request(request, stream=stream, answer=answer)

    async def serve_request(
        self, request: Request, *, stream: RequestStream, answer: CallerAnswer
    ) -> None:
        """Run a parsed request, send its outcome and record it."""
        try:
            outcome = await self.run(request, stream=stream, answer=answer)
            await answer.finish(outcome)
        except asyncio.CancelledError:
            self.record_end(
                request, name="cancelled", status=0, reason="caller gave up"
            )
            raise
        except Exception as error:
            self.node.log.write(
                events.REQUEST_FAILED,
                request=request.id,
                error=repr(error),
                traceback="".join(traceback.format_exception(error)),
            )
            stream.reset(ErrorCode.H3_INTERNAL_ERROR)
            self.record_end(request, name="unknown", status=0, reason="internal error")
            return
        self.record_end(
            request,
            name=OUTCOME_NAMES[type(outcome)],
            status=getattr(outcome, "status", 0),
            reason=getattr(outcome, "reason", ""),
        )

    async def run(
        self, request: Request, *, stream: RequestStream, answer: CallerAnswer
    ) -> Outcome:
        """Run the request, at most once if it has an idempotency key."""
        body = ReplayBody(stream)
        if request.idempotency_key is not None:
            return await self.idempotency.run(request, body, answer)
        return await self.router.run(request, body, answer)

    def record_end(
        self, request: Request, *, name: str, status: int, reason: str
    ) -> None:
        """Count and log the outcome of a request."""
        class_name = request.request_class.name
        seconds = self.node.now() - request.arrived
        self.metrics.requests.labels(class_name, name).inc()
        self.metrics.seconds.labels(class_name).observe(seconds)
        self.node.log.write(
            events.REQUEST_ENDED,
            request=request.id,
            caller=request.caller,
            outcome=name,
            status=status,
            reason=reason,
            seconds=round(seconds, 4),
        )
