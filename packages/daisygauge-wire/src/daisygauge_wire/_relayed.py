"""Frames between balancers and agents that carry packets of relayed flows.

A relayed flow is a connection that the upstream itself ends. Its packets can't be
changed, so everything that the processes tell each other travels in front of them.
Every process takes frames on one UDP port, equal on all instances; an instance is
therefore named by its packed IPv4 address alone.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

from msgspec import Struct

FLOW_BYTES = 12
"""Packed address and port of the client, then of the service."""
ADDRESS_BYTES = 4
MAX_TRIED = 15
"""Agents named in one opening packet; a bound on its size."""
NO_ADDRESS = bytes(ADDRESS_BYTES)

_PACKET_HEADER = struct.Struct("!B4sI")
_OPEN = struct.Struct("!B4sI4sHBBB")
_FINAL_BIT = 1
_UNANSWERED_BIT = 2
_OFFER = struct.Struct("!B12sIHH")
_FLOW = struct.Struct("!B12s")
_NOT_FOUND = struct.Struct("!B12sH")


class MalformedFrameError(ValueError):
    """A datagram on the inner port is no frame; it is dropped and counted."""


class AgentLoad(Struct, kw_only=True, frozen=True):
    """An agent that could take a flow, and how busy its upstream was.

    :param load: requests running or expected there.
    """

    agent: bytes
    load: int


class OpenFrame(Struct, kw_only=True, frozen=True):
    """The opening packet of a new flow looks for an upstream.

    :param balancer: who placed it; the agent that takes the flow tells it so.
    :param service: tag of the service that the flow's route names.
    :param tried: agents that need not be asked, because they were or don't answer.
    :param hops: agents that have passed the packet on.
    :param best: the least busy of the agents asked, or None.
    :param final: True when a free slot is no longer looked for: the first agent that
        can takes the flow.
    :param unanswered: True when an upstream that received the packet has neither
        answered nor returned it: the flow may still open there.
    """

    balancer: bytes
    service: int
    packet: bytes
    tried: tuple[bytes, ...] = ()
    hops: int = 0
    best: AgentLoad | None = None
    final: bool = False
    unanswered: bool = False


class ForwardFrame(Struct, kw_only=True, frozen=True):
    """A later packet of a flow that the receiving agent holds."""

    balancer: bytes
    service: int
    packet: bytes


class SearchFrame(Struct, kw_only=True, frozen=True):
    """A packet of a flow whose agent the balancer doesn't know.

    The agent that gets it finds the one that holds the flow.
    """

    balancer: bytes
    service: int
    packet: bytes


class QueryFrame(Struct, kw_only=True, frozen=True):
    """An agent asks another one whether it holds a flow that is searched.

    :param balancer: who searches; the agent that holds the flow tells it so.
    """

    balancer: bytes
    service: int
    packet: bytes


class UnknownFlowFrame(Struct, kw_only=True, frozen=True):
    """An agent returns a forwarded packet, because it doesn't hold the flow.

    :param lost: True when the flow isn't at the upstream any more; False when it may
        never have been there.
    """

    balancer: bytes
    service: int
    packet: bytes
    lost: bool = False


class OfferFrame(Struct, kw_only=True, frozen=True):
    """An upstream has answered an opening packet.

    :param sequence: the upstream's first sequence number, which the client's next
        packet acknowledges if it chose this upstream.
    :param load: requests running or expected there.
    :param slots: requests that the upstream runs at a time.
    """

    flow: bytes
    sequence: int
    load: int
    slots: int


class OwnerFrame(Struct, kw_only=True, frozen=True):
    """The sending agent holds a flow."""

    flow: bytes


class AbsentFrame(Struct, kw_only=True, frozen=True):
    """The upstream beside the sending agent doesn't hold a flow that is searched."""

    flow: bytes


class NotFoundFrame(Struct, kw_only=True, frozen=True):
    """Every agent has reported that it doesn't hold a flow.

    :param agents: number of agents that reported it.
    """

    flow: bytes
    agents: int


Frame = (
    OpenFrame
    | ForwardFrame
    | SearchFrame
    | QueryFrame
    | UnknownFlowFrame
    | OfferFrame
    | OwnerFrame
    | AbsentFrame
    | NotFoundFrame
)

(
    _OPEN_KIND,
    _FORWARD_KIND,
    _SEARCH_KIND,
    _UNKNOWN_FLOW_KIND,
    _LOST_KIND,
    _OFFER_KIND,
    _OWNER_KIND,
    _ABSENT_KIND,
    _QUERY_KIND,
    _NOT_FOUND_KIND,
) = range(0x51, 0x5B)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    match frame:
        case ForwardFrame():
            return encode_packet_frame(_FORWARD_KIND, frame)
        case SearchFrame():
            return encode_packet_frame(_SEARCH_KIND, frame)
        case QueryFrame():
            return encode_packet_frame(_QUERY_KIND, frame)
        case UnknownFlowFrame():
            kind = _LOST_KIND if frame.lost else _UNKNOWN_FLOW_KIND
            return encode_packet_frame(kind, frame)
        case OfferFrame():
            return _OFFER.pack(
                _OFFER_KIND, frame.flow, frame.sequence, frame.load, frame.slots
            )
        case OwnerFrame():
            return _FLOW.pack(_OWNER_KIND, frame.flow)
        case AbsentFrame():
            return _FLOW.pack(_ABSENT_KIND, frame.flow)
        case NotFoundFrame():
            return _NOT_FOUND.pack(_NOT_FOUND_KIND, frame.flow, frame.agents)
        case OpenFrame():
            return _encode_open(frame)


def encode_packet_frame(
    kind: int, frame: ForwardFrame | SearchFrame | QueryFrame | UnknownFlowFrame
) -> bytes:
    """Return the bytes of a frame that is only a packet and its service."""
    return _PACKET_HEADER.pack(kind, frame.balancer, frame.service) + frame.packet


def _encode_open(frame: OpenFrame) -> bytes:
    best = frame.best or AgentLoad(agent=NO_ADDRESS, load=0)
    head = _OPEN.pack(
        _OPEN_KIND,
        frame.balancer,
        frame.service,
        best.agent,
        best.load,
        frame.final * _FINAL_BIT | frame.unanswered * _UNANSWERED_BIT,
        frame.hops,
        len(frame.tried),
    )
    return head + b"".join(frame.tried) + frame.packet


def decode_frame(data: bytes) -> Frame:
    """Read a frame.

    :raises MalformedFrameError: the bytes are no frame.
    """
    decode = _DECODERS.get(data[0]) if data else None
    if decode is None:
        raise MalformedFrameError("unknown kind of frame; check that versions match")
    try:
        return decode(data)
    except struct.error as error:
        raise MalformedFrameError("a frame is cut short") from error


def _decode_open(data: bytes) -> OpenFrame:
    _, balancer, service, agent, load, flags, hops, count = _OPEN.unpack_from(data)
    end = _OPEN.size + count * ADDRESS_BYTES
    if count > MAX_TRIED or len(data) < end:
        raise MalformedFrameError("a frame names more agents than it holds")
    tried = tuple(
        data[start : start + ADDRESS_BYTES]
        for start in range(_OPEN.size, end, ADDRESS_BYTES)
    )
    return OpenFrame(
        balancer=balancer,
        service=service,
        packet=data[end:],
        tried=tried,
        hops=hops,
        best=None if agent == NO_ADDRESS else AgentLoad(agent=agent, load=load),
        final=bool(flags & _FINAL_BIT),
        unanswered=bool(flags & _UNANSWERED_BIT),
    )


def _decode_forward(data: bytes) -> ForwardFrame:
    _, balancer, service = _PACKET_HEADER.unpack_from(data)
    return ForwardFrame(
        balancer=balancer, service=service, packet=data[_PACKET_HEADER.size :]
    )


def _decode_search(data: bytes) -> SearchFrame:
    _, balancer, service = _PACKET_HEADER.unpack_from(data)
    return SearchFrame(
        balancer=balancer, service=service, packet=data[_PACKET_HEADER.size :]
    )


def _decode_query(data: bytes) -> QueryFrame:
    _, balancer, service = _PACKET_HEADER.unpack_from(data)
    return QueryFrame(
        balancer=balancer, service=service, packet=data[_PACKET_HEADER.size :]
    )


def _decode_unknown_flow(data: bytes) -> UnknownFlowFrame:
    kind, balancer, service = _PACKET_HEADER.unpack_from(data)
    return UnknownFlowFrame(
        balancer=balancer,
        service=service,
        packet=data[_PACKET_HEADER.size :],
        lost=kind == _LOST_KIND,
    )


def _decode_offer(data: bytes) -> OfferFrame:
    _, flow, sequence, load, slots = _OFFER.unpack(data)
    return OfferFrame(flow=flow, sequence=sequence, load=load, slots=slots)


def _decode_owner(data: bytes) -> OwnerFrame:
    _, flow = _FLOW.unpack(data)
    return OwnerFrame(flow=flow)


def _decode_absent(data: bytes) -> AbsentFrame:
    _, flow = _FLOW.unpack(data)
    return AbsentFrame(flow=flow)


def _decode_not_found(data: bytes) -> NotFoundFrame:
    _, flow, agents = _NOT_FOUND.unpack(data)
    return NotFoundFrame(flow=flow, agents=agents)


_DECODERS: dict[int, Callable[[bytes], Frame]] = {
    _OPEN_KIND: _decode_open,
    _FORWARD_KIND: _decode_forward,
    _SEARCH_KIND: _decode_search,
    _UNKNOWN_FLOW_KIND: _decode_unknown_flow,
    _LOST_KIND: _decode_unknown_flow,
    _OFFER_KIND: _decode_offer,
    _OWNER_KIND: _decode_owner,
    _ABSENT_KIND: _decode_absent,
    _QUERY_KIND: _decode_query,
    _NOT_FOUND_KIND: _decode_not_found,
}
