"""Calls to peer agents: hand-offs of requests and queries for outcomes."""

from __future__ import annotations

import asyncio

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from daisygauge_control import Call, NoKeyError, sign_call
from daisygauge_policy import KeyOwner, OwnerReply
from daisygauge_records import Endpoint
from daisygauge_wire import peer_pb2
from daisygauge_wire.peer_grpc import PeerStub

from ._messages import make_head, read_headers, read_outcome_answer
from ._model import Answer, Answered, Body, NotRun, Outcome, Request, Unknown
from ._node import AgentNode

ASK_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1_000
HAND_OFF_METHOD = "/daisygauge.Peer/HandOff"
ASK_METHOD = "/daisygauge.Peer/AskOutcome"
# Statuses with which a peer refuses a call before its handler gets the request.
REFUSING_STATUSES = frozenset({Status.UNAUTHENTICATED, Status.UNIMPLEMENTED})
CALL_ERRORS = (GRPCError, StreamTerminatedError, OSError)


class PeerCalls:
    """Calls peers over one channel each, which is opened by the first call."""

    def __init__(self, *, node: AgentNode) -> None:
        self.node = node
        self.channels: dict[Endpoint, Channel] = {}

    def open_channel(self, agent: str) -> Channel | None:
        """Return the channel to a peer, None if the peer is not published."""
        for peer in self.node.peers:
            if peer.id == agent:
                endpoint = Endpoint(host=peer.agent.host, port=peer.peer_port)
                break
        else:
            return None
        if endpoint not in self.channels:
            self.channels[endpoint] = Channel(host=endpoint.host, port=endpoint.port)
        return self.channels[endpoint]

    def close(self) -> None:
        """Close every channel."""
        for channel in self.channels.values():
            channel.close()

    def sign(self, method: str, *, receiver: str) -> dict[str, str]:
        """Return the metadata that signs a call, empty without a key."""
        call = Call(
            method=method,
            sender=self.node.settings.id,
            receiver=receiver,
            sent_ms=round(self.node.now() * MILLISECONDS_PER_SECOND),
        )
        try:
            return sign_call(call, keys=self.node.keys)
        except NoKeyError:
            return {}

    async def ask_outcome(
        self, owner: KeyOwner, key: str, fingerprint: bytes
    ) -> OwnerReply | None:
        """Query the owner of an idempotency key.

        :return: None without a usable reply.
        """
        channel = self.open_channel(owner.agent)
        if channel is None:
            return None
        question = peer_pb2.OutcomeQuestion(
            service=self.node.service.number,
            incarnation=owner.incarnation,
            key=key,
            fingerprint=fingerprint,
            asker=peer_pb2.KeyOwner(
                agent=self.node.settings.id, incarnation=self.node.incarnation
            ),
        )
        metadata = self.sign(ASK_METHOD, receiver=owner.agent)
        try:
            message = await PeerStub(channel).AskOutcome(
                question, timeout=ASK_TIMEOUT_SECONDS, metadata=metadata
            )
        except (*CALL_ERRORS, TimeoutError):
            return None
        return read_outcome_answer(message)

    async def hand_off(
        self,
        peer: str,
        *,
        incarnation: int,
        request: Request,
        body: Body,
        answer: Answer,
    ) -> Outcome:
        """Hand a request that has not run here to a peer, and return its outcome.

        :param incarnation: incarnation that the peer must have.
        """
        channel = self.open_channel(peer)
        if channel is None:
            return NotRun(reason="peer-unpublished")
        call = HandOffCall(answer=answer)
        head = make_head(
            request, service=self.node.service.number, incarnation=incarnation
        )
        metadata = self.sign(HAND_OFF_METHOD, receiver=peer)
        remaining_seconds = request.deadline - self.node.now()
        try:
            async with asyncio.timeout(remaining_seconds):
                return await call.run(channel, head=head, body=body, metadata=metadata)
        except (*CALL_ERRORS, TimeoutError) as error:
            return call.classify_error(error)


class HandOffCall:
    """The call that hands one request to a peer.

    :ivar sent: True once the peer may have received the request.
    """

    def __init__(self, *, answer: Answer) -> None:
        self.answer = answer
        self.sent = False
        self.outcome: Outcome | None = None

    async def run(
        self,
        channel: Channel,
        *,
        head: peer_pb2.HandOffHead,
        body: Body,
        metadata: dict[str, str],
    ) -> Outcome:
        """Send the request and stream its answer."""
        async with PeerStub(channel).HandOff.open(metadata=metadata) as stream:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await stream.send_request()
            self.sent = True
            await stream.send_message(peer_pb2.HandOffRequest(head=head))
            sending = asyncio.create_task(self.send_body(stream, body))
            try:
                return await self.receive(stream)
            finally:
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    async def send_body(self, stream: object, body: Body) -> None:
        """Send the request's body."""
        while part := await body.read():
            await stream.send_message(peer_pb2.HandOffRequest(body=part))
        await stream.end()

    async def receive(self, stream: object) -> Outcome:
        """Forward the answer until the outcome is known."""
        status = 0
        while self.outcome is None:
            message = await stream.recv_message()
            part = None if message is None else message.WhichOneof("part")
            match part:
                case "head":
                    status = message.head.status
                    await self.answer.send_head(
                        status=status, headers=read_headers(message.head.headers)
                    )
                case "body":
                    await self.answer.send_body(message.body)
                case "end":
                    await self.answer.send_end()
                    self.outcome = Answered(status=status)
                case "not_run":
                    self.outcome = NotRun(
                        reason=message.not_run.reason,
                        retry_after=message.not_run.retry_after,
                    )
                case "unknown":
                    self.outcome = Unknown(
                        reason=message.unknown.reason, late=message.unknown.late
                    )
                case _:
                    self.outcome = Unknown(reason="the peer broke off")
        return self.outcome

    def classify_error(self, error: Exception) -> Outcome:
        """Return the outcome of a call that failed.

        It is ``NotRun`` only when the peer can't have received the request, or refused
        it before its handler got it.
        """
        if self.outcome is not None:
            return self.outcome
        refused = isinstance(error, GRPCError) and error.status in REFUSING_STATUSES
        if refused or not self.sent:
            return NotRun(reason=f"peer-refused: {type(error).__name__}")
        if isinstance(error, TimeoutError):
            return Unknown(reason="deadline", late=True)
        return Unknown(reason=f"the peer broke off: {type(error).__name__}")
