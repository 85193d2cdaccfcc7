"""Translation between the agent's model and the messages of peer calls."""

from __future__ import annotations

from daisygauge_policy import (
    DEFAULT_CLASS,
    Granted,
    InProgress,
    KeyOwner,
    Moved,
    OtherRequest,
    OutcomeLost,
    OwnerReply,
    Replay,
    StoredAnswer,
)
from daisygauge_records import Service
from daisygauge_wire import peer_pb2

from ._model import Headers, Request

State = peer_pb2.OutcomeAnswer


def make_headers(headers: Headers) -> list[peer_pb2.Header]:
    """Convert header fields to protobuf messages."""
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def read_headers(headers: list[peer_pb2.Header]) -> Headers:
    """Convert protobuf messages to header fields."""
    return tuple((header.name, header.value) for header in headers)


def make_head(
    request: Request, *, service: int, incarnation: int
) -> peer_pb2.HandOffHead:
    """Build the first message of a hand-off.

    :param incarnation: incarnation that the receiving agent must have.
    """
    return peer_pb2.HandOffHead(
        service=service,
        incarnation=incarnation,
        method=request.method,
        path=request.path,
        headers=make_headers(request.headers),
        deadline=request.deadline,
        caller=request.caller,
        request_class=request.request_class.name,
        request_id=request.id,
    )


def read_head(head: peer_pb2.HandOffHead, *, service: Service, now: float) -> Request:
    """Build the request that a peer hands off.

    :param now: Unix time in seconds.
    """
    classes = {entry.name: entry for entry in service.classes}
    return Request(
        id=head.request_id,
        method=head.method,
        path=head.path,
        headers=read_headers(head.headers),
        caller=head.caller,
        request_class=classes.get(head.request_class, DEFAULT_CLASS),
        arrived=now,
        deadline=head.deadline,
        handed_off=True,
    )


def make_outcome_answer(reply: OwnerReply) -> peer_pb2.OutcomeAnswer:
    """Convert the reply of a key's owner to its message."""
    match reply:
        case Granted():
            return peer_pb2.OutcomeAnswer(state=State.GRANTED)
        case Moved(owner=owner):
            message = peer_pb2.KeyOwner(
                agent=owner.agent, incarnation=owner.incarnation
            )
            return peer_pb2.OutcomeAnswer(state=State.MOVED, owner=message)
        case Replay(answer=None):
            return peer_pb2.OutcomeAnswer(state=State.ANSWERED)
        case Replay(answer=answer):
            stored = peer_pb2.StoredAnswer(
                status=answer.status,
                headers=make_headers(answer.headers),
                body=answer.body,
            )
            return peer_pb2.OutcomeAnswer(state=State.ANSWERED, answer=stored)
        case InProgress():
            return peer_pb2.OutcomeAnswer(state=State.RUNNING)
        case OtherRequest():
            return peer_pb2.OutcomeAnswer(state=State.OTHER_REQUEST)
        case OutcomeLost():
            return peer_pb2.OutcomeAnswer(state=State.UNKNOWN)


def read_outcome_answer(message: peer_pb2.OutcomeAnswer) -> OwnerReply | None:
    """Convert a message to the reply of a key's owner.

    :return: None when another incarnation of the owner answered.
    """
    match message.state:
        case State.GRANTED:
            return Granted()
        case State.MOVED:
            owner = message.owner
            return Moved(
                owner=KeyOwner(agent=owner.agent, incarnation=owner.incarnation)
            )
        case State.ANSWERED:
            return Replay(answer=_read_stored(message))
        case State.RUNNING:
            return InProgress()
        case State.OTHER_REQUEST:
            return OtherRequest()
        case State.UNKNOWN:
            return OutcomeLost()
    return None


def _read_stored(message: peer_pb2.OutcomeAnswer) -> StoredAnswer | None:
    if not message.HasField("answer"):
        return None
    stored = message.answer
    return StoredAnswer(
        status=stored.status, headers=read_headers(stored.headers), body=stored.body
    )
