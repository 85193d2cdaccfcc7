"""Server of the calls that peer agents make."""

from __future__ import annotations

from grpclib import GRPCError, Status
from grpclib.server import Stream

from daisygauge_policy import KeyOwner
from daisygauge_wire import peer_pb2
from daisygauge_wire.peer_grpc import PeerBase

from ._bodies import ReplayBody
from ._idempotency import IdempotencyHandler
from ._messages import make_headers, make_outcome_answer, read_head
from ._model import Answered, Headers, NotRun, Outcome, Unknown
from ._node import AgentNode
from ._routing import Router

MAX_PART_BYTES = 64 * 1024
State = peer_pb2.OutcomeAnswer


class PeerAnswer:
    """Sends an answer to the peer that holds the caller's connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.started = False

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the status and the header fields."""
        self.started = True
        head = peer_pb2.AnswerHead(status=status, headers=make_headers(headers))
        await self.stream.send_message(peer_pb2.HandOffAnswer(head=head))

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body, in messages of bounded size."""
        for start in range(0, len(part), MAX_PART_BYTES):
            piece = part[start : start + MAX_PART_BYTES]
            await self.stream.send_message(peer_pb2.HandOffAnswer(body=piece))

    async def send_end(self) -> None:
        """Mark the answer as complete."""
        end = peer_pb2.AnswerEnd()
        await self.stream.send_message(peer_pb2.HandOffAnswer(end=end))

    async def finish(self, outcome: Outcome) -> None:
        """Send the outcome of a request without a complete answer."""
        match outcome:
            case Answered():
                return
            case NotRun(reason=reason, retry_after=retry_after):
                refusal = peer_pb2.NotRun(reason=reason, retry_after=retry_after)
                await self.stream.send_message(peer_pb2.HandOffAnswer(not_run=refusal))
            case Unknown(reason=reason, late=late):
                unknown = peer_pb2.Unknown(reason=reason, late=late)
                await self.stream.send_message(peer_pb2.HandOffAnswer(unknown=unknown))


class PeerBody:
    """Reads the body of a request that a peer hands off."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream

    async def read(self) -> bytes:
        """Return the next part, or ``b""`` at the end."""
        message = await self.stream.recv_message()
        return b"" if message is None else message.body


class PeerHandler(PeerBase):
    """Runs requests of peers and answers their queries about idempotency keys."""

    def __init__(
        self, *, node: AgentNode, router: Router, idempotency: IdempotencyHandler
    ) -> None:
        self.node = node
        self.router = router
        self.idempotency = idempotency

    async def HandOff(self, stream: Stream) -> None:
        """Run a request of a peer, or refuse it.

        :raises GRPCError: the first message is not the head of a request.
        """
        first = await stream.recv_message()
        if first is None or first.WhichOneof("part") != "head":
            raise GRPCError(Status.INVALID_ARGUMENT, "the head comes first")
        answer = PeerAnswer(stream)
        refusal = self.find_refusal(first.head)
        if refusal is not None:
            await answer.finish(NotRun(reason=refusal))
            return
        request = read_head(first.head, service=self.node.service, now=self.node.now())
        body = ReplayBody(PeerBody(stream))
        outcome = await self.router.run(request, body, answer)
        await answer.finish(outcome)

    def find_refusal(self, head: peer_pb2.HandOffHead) -> str | None:
        """Return why a request is refused before it is parsed, or None."""
        if head.service != self.node.service_number:
            return "wrong-service"
        if head.incarnation != self.node.incarnation:
            return "wrong-incarnation"
        if self.node.leaving:
            return "leaving"
        if self.node.now() >= head.deadline:
            return "deadline"
        return None

    async def AskOutcome(self, stream: Stream) -> None:
        """Send the state of an idempotency key; grant it if its request has not run."""
        question = await stream.recv_message()
        is_for_this_incarnation = (
            question.service == self.node.service_number
            and question.incarnation == self.node.incarnation
        )
        if not is_for_this_incarnation:
            await stream.send_message(
                peer_pb2.OutcomeAnswer(state=State.OTHER_INCARNATION)
            )
            return
        asker = KeyOwner(
            agent=question.asker.agent, incarnation=question.asker.incarnation
        )
        reply = self.idempotency.table.reply_to_asker(
            question.key,
            fingerprint=question.fingerprint,
            asker=asker,
            now=self.node.now(),
        )
        await stream.send_message(make_outcome_answer(reply))
