"""The version-independent part of a QUIC packet header (RFC 8999)."""

from __future__ import annotations

import enum

from attrs import frozen

from ._connection_id import CONNECTION_ID_BYTES

_LONG_HEADER = 0x80
_LONG_TYPE_MASK = 0x30
_VERSION_1 = b"\x00\x00\x00\x01"
_VERSION_2 = b"\x6b\x33\x43\xcf"
_MAX_CONNECTION_ID_BYTES = 20
_FIRST_FLIGHT_TYPES = {
    _VERSION_1: frozenset({0x00, 0x10}),
    _VERSION_2: frozenset({0x10, 0x20}),
}


class PacketKind(enum.Enum):
    """Kind of a packet whose connection ID no agent has issued."""

    FIRST_FLIGHT = "first-flight"
    """Initial or 0-RTT packet (RFC 9000, 17.2), or packet of an unknown version."""
    OTHER_LONG = "other-long"
    SHORT = "short"


@frozen(kw_only=True)
class PacketHeader:
    """Header fields that all versions of QUIC have in common."""

    kind: PacketKind
    destination_id: bytes


def read_destination_id(data: bytes) -> bytes:
    """Return the destination connection ID of the first packet of a QUIC datagram.

    :return: fewer bytes than the header states when the datagram is truncated.
    """
    if data and data[0] & _LONG_HEADER:
        return data[6 : 6 + data[5]] if len(data) > 5 else b""
    return data[1 : 1 + CONNECTION_ID_BYTES]


def read_packet_header(data: bytes) -> PacketHeader | None:
    """Read the header of the first packet of a QUIC datagram.

    :return: None when the datagram is too short to hold a header.
    """
    if not data:
        return None
    if data[0] & _LONG_HEADER:
        return _read_long_header(data)
    connection_id = data[1 : 1 + CONNECTION_ID_BYTES]
    if len(connection_id) < CONNECTION_ID_BYTES:
        return None
    return PacketHeader(kind=PacketKind.SHORT, destination_id=connection_id)


def _read_long_header(data: bytes) -> PacketHeader | None:
    if len(data) < 7:
        return None
    length = data[5]
    if length > _MAX_CONNECTION_ID_BYTES or len(data) < 7 + length:
        return None
    version = data[1:5]
    first_flight_types = _FIRST_FLIGHT_TYPES.get(version)
    is_first = (
        first_flight_types is None or data[0] & _LONG_TYPE_MASK in first_flight_types
    )
    kind = PacketKind.FIRST_FLIGHT if is_first else PacketKind.OTHER_LONG
    return PacketHeader(kind=kind, destination_id=data[6 : 6 + length])
