"""Encodes and decodes the messages of relayed flows.

The packets of a relayed flow must not be changed, so each frame puts its own fields in
front of the packet.
"""

from __future__ import annotations

import struct
from collections.abc import Callable

from msgspec.structs import replace

from ._relayed_frames import (
    MAX_TRIED,
    ROUTE_TAG_BITS,
    AbsentFrame,
    AgentLoad,
    ForwardFrame,
    Frame,
    NotFoundFrame,
    OfferFrame,
    OpenFrame,
    OwnerFrame,
    QueryFrame,
    SearchFrame,
    UnknownFlowFrame,
    utilization_of,
    utilization_steps,
)

ADDRESS_BYTES = 4
NO_ADDRESS = bytes(ADDRESS_BYTES)

_PACKET_HEADER = struct.Struct("!B4sI")
_OPEN = struct.Struct("!B4sI4sHBBB")
_FINAL_BIT = 1
_UNANSWERED_BIT = 2
_CROSSED_BIT = 4
_MIN_TAG_ENTRY = (0xF << ROUTE_TAG_BITS).to_bytes(ADDRESS_BYTES)
"""An entry of the tried list from here up holds the route tag. These addresses
(240.0.0.0/4) are reserved, and a process of an older version ignores a tried agent that
it doesn't know."""
_MAX_ENTRIES = MAX_TRIED + 1
_UTILIZATION_SHIFT = 3
"""The upper 5 bits of the flags hold the best agent's utilization in steps plus 1, or 0
while it is unknown. Earlier versions ignore them and send 0."""
_VISIT = struct.Struct("!BI")
_OFFER = struct.Struct("!B12sIHH")
_FLOW = struct.Struct("!B12s")
_NOT_FOUND = struct.Struct("!B12sH")


class MalformedFrameError(ValueError):
    """A datagram on the inner port can't be decoded as a frame.

    The receiver drops and counts it.
    """


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
    _VISIT_KIND,
) = range(0x51, 0x5C)


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame."""
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
    """Encode a frame that consists of balancer, service and packet."""
    return _PACKET_HEADER.pack(kind, frame.balancer, frame.service) + frame.packet


def _encode_open(frame: OpenFrame) -> bytes:
    best = frame.best or AgentLoad(agent=NO_ADDRESS, load=0)
    entries = (*frame.tried, *_encode_route_tag(frame.route_tag))
    head = _OPEN.pack(
        _OPEN_KIND,
        frame.balancer,
        frame.service,
        best.agent,
        best.load,
        _encode_open_flags(frame),
        frame.hops,
        len(entries),
    )
    data = head + b"".join(entries) + frame.packet
    if frame.home_service is None:
        return data
    return _VISIT.pack(_VISIT_KIND, frame.home_service) + data


def _encode_route_tag(tag: int | None) -> tuple[bytes, ...]:
    if tag is None:
        return ()
    return ((int.from_bytes(_MIN_TAG_ENTRY) | tag).to_bytes(ADDRESS_BYTES),)


def _decode_route_tag(entries: tuple[bytes, ...]) -> int | None:
    tags = (entry for entry in entries if entry >= _MIN_TAG_ENTRY)
    entry = next(tags, None)
    if entry is None:
        return None
    return int.from_bytes(entry) - int.from_bytes(_MIN_TAG_ENTRY)


def _encode_open_flags(frame: OpenFrame) -> int:
    return (
        frame.final * _FINAL_BIT
        | frame.unanswered * _UNANSWERED_BIT
        | frame.has_crossed * _CROSSED_BIT
        | _encode_utilization(frame.best) << _UTILIZATION_SHIFT
    )


def _encode_utilization(best: AgentLoad | None) -> int:
    if best is None or best.utilization is None:
        return 0
    return utilization_steps(best.utilization) + 1


def _decode_utilization(flags: int) -> float | None:
    value = flags >> _UTILIZATION_SHIFT
    return utilization_of(value - 1) if value else None


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    :raises MalformedFrameError: the kind is unknown, or the frame is truncated.
    """
    decode = _DECODERS.get(data[0]) if data else None
    if decode is None:
        raise MalformedFrameError(
            "unknown frame kind; check that all instances run compatible versions"
        )
    try:
        return decode(data)
    except struct.error as error:
        raise MalformedFrameError("truncated frame") from error


def _decode_open(data: bytes) -> OpenFrame:
    _, balancer, service, agent, load, flags, hops, count = _OPEN.unpack_from(data)
    end = _OPEN.size + count * ADDRESS_BYTES
    if count > _MAX_ENTRIES or len(data) < end:
        raise MalformedFrameError(
            "an open frame lists more agents than it contains or than are allowed"
        )
    entries = tuple(
        data[start : start + ADDRESS_BYTES]
        for start in range(_OPEN.size, end, ADDRESS_BYTES)
    )
    best = AgentLoad(agent=agent, load=load, utilization=_decode_utilization(flags))
    return OpenFrame(
        balancer=balancer,
        service=service,
        packet=data[end:],
        tried=tuple(entry for entry in entries if entry < _MIN_TAG_ENTRY),
        hops=hops,
        best=None if agent == NO_ADDRESS else best,
        final=bool(flags & _FINAL_BIT),
        unanswered=bool(flags & _UNANSWERED_BIT),
        has_crossed=bool(flags & _CROSSED_BIT),
        route_tag=_decode_route_tag(entries),
    )


def _decode_visit(data: bytes) -> OpenFrame:
    _, home_service = _VISIT.unpack_from(data)
    frame = _decode_open(data[_VISIT.size :])
    if frame.best is None:
        raise MalformedFrameError(
            "an opening packet offered to another service doesn't name the agent that "
            "offered it"
        )
    return replace(frame, home_service=home_service)


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
    _VISIT_KIND: _decode_visit,
}
