"""The two directions of an established flow, without building models.

A balancer handles each packet of each flow here. What these functions read and
write is byte for byte what ``encode_datagram`` and ``decode_datagram`` do.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

from daisygauge_records import Endpoint

from ._datagram import (
    COVERED_BYTES,
    HEADER_BYTES,
    TAG_BYTES,
    VERSION,
    Kind,
    MalformedDatagramError,
    PlacementStatus,
    has_valid_tag,
)
from ._keyring import DerivedKeys

_ENDPOINT = struct.Struct(">4sH")
_REPLY_START = bytes([VERSION, Kind.REPLY])
_CALLER_PART = slice(12, 18)
_SERVICE_PART = slice(6, 8)
_COVERED_PACKET_BYTES = COVERED_BYTES - HEADER_BYTES
_COUNT_OFFSET = 5
_KEY_OFFSET = 2


def pack_endpoint(host: str, port: int) -> bytes:
    """Write an address as inner datagrams carry it."""
    return _ENDPOINT.pack(socket.inet_aton(host), port)


def unpack_endpoint(packed: bytes) -> tuple[str, int]:
    """Read an address as sockets take it."""
    return socket.inet_ntoa(packed[:4]), packed[4] << 8 | packed[5]


class ForwardEncoder:
    """Writes the datagrams of one outer socket under one key.

    :param address: service address that callers use.
    :param sender: inner address of this balancer.
    """

    def __init__(
        self, *, address: Endpoint, sender: Endpoint, key: DerivedKeys
    ) -> None:
        self.start = bytes(
            [VERSION, Kind.FORWARD, key.number, PlacementStatus.NONE, 0, 0]
        )
        self.end = pack_endpoint(address.host, address.port) + pack_endpoint(
            sender.host, sender.port
        )
        self.compute_tag = key.datagram_tag

    def encode(self, identity: bytes, caller: bytes, packet: bytes) -> bytes:
        """Wrap a caller's packet for the agent that its connection ID names.

        :param identity: ``IDENTITY_PART`` of the opened connection ID.
        :param caller: packed address of the caller.
        """
        head = self.start + identity + caller + self.end
        tag = self.compute_tag(head + packet[:_COVERED_PACKET_BYTES])
        return b"".join((head, packet, tag))


class ReplyFrame(NamedTuple):
    """A packet on its way to a caller.

    :param service: packed service number.
    :param caller: packed address of the caller.
    """

    service: bytes
    caller: bytes
    packet: bytes


def is_reply(data: bytes) -> bool:
    """Tell whether an inner datagram says it is a reply."""
    return data[:2] == _REPLY_START


def read_reply(data: bytes, *, keys: Mapping[int, DerivedKeys]) -> ReplyFrame:
    """Check and read a reply.

    :param data: a datagram for which ``is_reply`` holds.
    :param keys: the keys accepted now, by number.
    :raises MalformedDatagramError: short, unsigned or with candidates.
    """
    if len(data) < HEADER_BYTES + TAG_BYTES:
        raise MalformedDatagramError("short")
    key = keys.get(data[_KEY_OFFSET])
    if key is None:
        raise MalformedDatagramError("key")
    if not has_valid_tag(data, key=key):
        raise MalformedDatagramError("tag")
    if data[_COUNT_OFFSET]:
        raise MalformedDatagramError("candidates")
    return ReplyFrame(
        data[_SERVICE_PART], data[_CALLER_PART], data[HEADER_BYTES:-TAG_BYTES]
    )
