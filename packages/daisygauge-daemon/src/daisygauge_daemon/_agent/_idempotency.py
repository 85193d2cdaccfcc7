"""At-most-once execution of requests with an idempotency key."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from daisygauge_policy import (
    LARGEST_ANSWER_BYTES,
    AskOwner,
    Decision,
    InProgress,
    KeyOwner,
    OtherRequest,
    OutcomeLost,
    OutcomeTable,
    OwnerReply,
    Replay,
    StartRun,
    StoredAnswer,
    TableFull,
)

from ._bodies import ReplayBody
from ._model import Answer, Answered, Headers, NotRun, Outcome, Request, Unknown
from ._node import AgentNode

PROGRESS_CHECK_INTERVAL_SECONDS = 0.1
KEY_OF_OTHER_REQUEST = "idempotency key belongs to another request; use a new key"

RunRequest = Callable[[Request, ReplayBody, Answer], Awaitable[Outcome]]
AskOwnerFunction = Callable[[KeyOwner, str, bytes], Awaitable[OwnerReply | None]]


class RecordedAnswer:
    """Forwards an answer to the caller and stores it for repeats.

    Recording continues after the caller is gone.

    :param answer: destination towards the caller.
    """

    def __init__(self, answer: Answer) -> None:
        self.answer: Answer | None = answer
        self.started = False
        self.status = 0
        self.headers: Headers = ()
        self.body = bytearray()

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Store and send the head."""
        self.started = True
        self.status = status
        self.headers = headers
        if self.answer is not None:
            await self.answer.send_head(status=status, headers=headers)

    async def send_body(self, part: bytes) -> None:
        """Send a part; store it unless the body is too large already.

        A body beyond ``LARGEST_ANSWER_BYTES`` is stored only in part, and the
        outcome table then drops it because of its length.
        """
        if len(self.body) <= LARGEST_ANSWER_BYTES:
            self.body += part[: LARGEST_ANSWER_BYTES + 1]
        if self.answer is not None:
            await self.answer.send_body(part)

    async def send_end(self) -> None:
        """Mark the answer as complete."""
        if self.answer is not None:
            await self.answer.send_end()

    def detach(self) -> None:
        """Stop sending to a caller that is gone."""
        self.answer = None

    def stored(self) -> StoredAnswer:
        """Return the stored answer for the outcome table."""
        return StoredAnswer(
            status=self.status, headers=self.headers, body=bytes(self.body)
        )


def fingerprint_request(request: Request, *, body: bytes) -> bytes:
    """Return a digest of method, path and body, equal for a repeat of a request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method.encode(), request.path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class IdempotencyHandler:
    """Runs requests with an idempotency key, or returns the outcome of their first run.

    :param run: runs a request that may run here.
    :param ask: queries the owner of a key; returns None without a usable reply.
    :ivar first_runs: tasks of first runs, which outlive their callers.
    """

    def __init__(
        self, *, node: AgentNode, run: RunRequest, ask: AskOwnerFunction
    ) -> None:
        self.node = node
        self.run_request = run
        self.ask = ask
        self.table = OutcomeTable(
            own=KeyOwner(agent=node.settings.id, incarnation=node.incarnation)
        )
        self.first_runs: set[asyncio.Task[Outcome]] = set()

    async def run(self, request: Request, body: ReplayBody, answer: Answer) -> Outcome:
        """Run a request with a key, or return the outcome of its first run."""
        try:
            async with asyncio.timeout(request.deadline - self.node.now()):
                content = await body.read_whole()
        except ValueError as error:
            return NotRun(reason=str(error))
        except TimeoutError:
            return NotRun(reason="deadline")
        key = request.idempotency_key
        fingerprint = fingerprint_request(request, body=content)
        decision = await self.decide(request, key=key, fingerprint=fingerprint)
        match decision:
            case StartRun():
                return await self.run_first(request, body=body, answer=answer)
            case Replay(answer=StoredAnswer() as stored):
                return await self.replay(stored, answer=answer)
            case Replay():
                return Unknown(reason="it ran; its answer was too large to keep")
            case OtherRequest():
                return NotRun(reason=KEY_OF_OTHER_REQUEST)
            case TableFull():
                return NotRun(reason="too many idempotency keys")
            case InProgress():
                return Unknown(reason="the first run goes on", late=True)
            case OutcomeLost():
                return Unknown(reason="the first run's outcome is lost")

    async def decide(
        self, request: Request, *, key: str, fingerprint: bytes
    ) -> Decision:
        """Return what to do with a request, waiting while another copy runs.

        The wait ends at the request's deadline.
        """
        while True:
            decision = await self.decide_now(request, key=key, fingerprint=fingerprint)
            remaining_seconds = request.deadline - self.node.now()
            if not isinstance(decision, InProgress) or remaining_seconds <= 0.0:
                return decision
            await asyncio.sleep(min(PROGRESS_CHECK_INTERVAL_SECONDS, remaining_seconds))

    async def decide_now(
        self, request: Request, *, key: str, fingerprint: bytes
    ) -> Decision:
        """Return what to do with a request, querying the key's owner where needed."""
        first = request.first_host
        decision = self.table.begin(
            key,
            fingerprint=fingerprint,
            first=None
            if first is None
            else KeyOwner(agent=first.agent, incarnation=first.incarnation),
            now=self.node.now(),
        )
        while isinstance(decision, AskOwner):
            decision = await self.resolve(decision.owner, key, fingerprint)
        return decision

    async def resolve(self, owner: KeyOwner, key: str, fingerprint: bytes) -> Decision:
        """Query an owner of the key; a cancelled query counts as unanswered."""
        reply: OwnerReply | None = None
        try:
            reply = await self.ask(owner, key, fingerprint)
        finally:
            decision = self.table.resolve(key, reply=reply, now=self.node.now())
        return decision

    async def run_first(
        self, request: Request, *, body: ReplayBody, answer: Answer
    ) -> Outcome:
        """Run the request to its end, even when the caller cancels it."""
        recorded = RecordedAnswer(answer)
        task = asyncio.create_task(self.run_and_record(request, body, recorded))
        self.first_runs.add(task)
        task.add_done_callback(self.first_runs.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            recorded.detach()
            raise

    async def run_and_record(
        self, request: Request, body: ReplayBody, recorded: RecordedAnswer
    ) -> Outcome:
        """Run the request and record its outcome in the table."""
        key = request.idempotency_key
        outcome: Outcome = Unknown(reason="cut short")
        try:
            outcome = await self.run_request(request, body, recorded)
        finally:
            now = self.node.now()
            match outcome:
                case NotRun():
                    self.table.release(key, now=now)
                case Unknown():
                    self.table.finish(key, answer=None, now=now)
                case Answered():
                    self.table.finish(key, answer=recorded.stored(), now=now)
        return outcome

    async def replay(self, stored: StoredAnswer, *, answer: Answer) -> Outcome:
        """Send the stored answer of the first run."""
        await answer.send_head(status=stored.status, headers=stored.headers)
        if stored.body:
            await answer.send_body(stored.body)
        await answer.send_end()
        return Answered(status=stored.status)
