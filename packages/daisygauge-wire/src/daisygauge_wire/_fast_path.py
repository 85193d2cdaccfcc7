"""Encoding and decoding for packets of established flows.

A balancer runs this code for each of these packets, in both directions, so it
works on bytes and builds no ``Datagram``. The bytes are the same that
``encode_datagram`` writes and ``decode_datagram`` reads.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Mapping
from typing import NamedTuple

from daisygauge_records import Endpoint

from ._datagram import (
    HEADER_BYTES,
    MAX_AUTHENTICATED_BYTES,
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
_AUTHENTICATED_PACKET_BYTES = MAX_AUTHENTICATED_BYTES - HEADER_BYTES
_COUNT_OFFSET = 5
_KEY_OFFSET = 2


def pack_endpoint(host: str, port: int) -> bytes:
    """Encode an address in the format of inner datagrams."""
    return _ENDPOINT.pack(socket.inet_aton(host), port)


def unpack_endpoint(packed: bytes) -> tuple[str, int]:
    """Decode an address of an inner datagram into host and port."""
    return socket.inet_ntoa(packed[:4]), packed[4] << 8 | packed[5]


class ForwardEncoder:
    """Encodes the ``FORWARD`` datagrams of one outer socket.

    :param address: service address that callers use.
    :param sender: inner address of this balancer.
    :param key: key that the tags are computed with.
    """

    def __init__(
        self, *, address: Endpoint, sender: Endpoint, key: DerivedKeys
    ) -> None:
        self.prefix = bytes(
            [VERSION, Kind.FORWARD, key.number, PlacementStatus.NONE, 0, 0]
        )
        self.suffix = pack_endpoint(address.host, address.port) + pack_endpoint(
            sender.host, sender.port
        )
        self.compute_tag = key.datagram_tag

    def encode(self, identity: bytes, caller: bytes, packet: bytes) -> bytes:
        """Encode a caller's packet for the agent that its connection ID names.

        :param identity: ``IDENTITY_PART`` of the decrypted connection ID.
        :param caller: packed address of the caller.
        """
        header = self.prefix + identity + caller + self.suffix
        tag = self.compute_tag(header + packet[:_AUTHENTICATED_PACKET_BYTES])
        return b"".join((header, packet, tag))


class ReplyFrame(NamedTuple):
    """A packet for a caller, decoded from a ``REPLY`` datagram.

    :param service: packed service number.
    :param caller: packed address of the caller.
    """

    service: bytes
    caller: bytes
    packet: bytes


def is_reply(data: bytes) -> bool:
    """Tell whether an inner datagram has the version and kind of a reply."""
    return data[:2] == _REPLY_START


def read_reply(data: bytes, *, keys: Mapping[int, DerivedKeys]) -> ReplyFrame:
    """Authenticate and decode a reply.

    :param data: a datagram for which ``is_reply`` is true.
    :param keys: accepted keys by number.
    :raises MalformedDatagramError: the reply is too short, has an unknown key or a
        wrong tag, or lists candidates.
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
