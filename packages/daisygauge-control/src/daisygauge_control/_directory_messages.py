"""MessagePack messages in which processes exchange their directories."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from msgspec import DecodeError, Struct, msgpack

from ._directory import DirectoryItem

MAX_ITEMS_BYTES = 16 * 1024 * 1024
"""Far above a whole directory; a message that unpacks to more is rejected."""
COMPRESSION_LEVEL = 1
"""The fastest level; routes are alike, so it still removes nine tenths of the size."""


class MalformedMessageError(ValueError):
    """A peer sent bytes that are not a valid message; it may run another version."""


class ChangesRequest(Struct, kw_only=True, frozen=True, array_like=True):
    """Request for every change after a revision.

    :param after: revision, or 0 for the whole directory.
    :param wait_seconds: how long the reply may wait for a change.
    """

    after: int
    wait_seconds: float


class ChangesReply(Struct, kw_only=True, frozen=True):
    """Reply with the changes that a peer holds.

    :param as_of: revision up to which the peer knows every change.
    :param age_seconds: time since the directory of the peer was last known to be
        current.
    :param is_complete: True if the items are the whole directory, not only changes.
    """

    as_of: int
    age_seconds: float
    is_complete: bool
    items: tuple[DirectoryItem, ...]


class PackedReply(Struct, kw_only=True, frozen=True, array_like=True):
    """A reply as it is sent; the packed items are shared by the replies to many peers.

    :param items: result of :func:`pack_items`.
    """

    as_of: int
    age_seconds: float
    is_complete: bool
    items: bytes


_ENCODER = msgpack.Encoder()
_REQUEST_DECODER = msgpack.Decoder(ChangesRequest)
_REPLY_DECODER = msgpack.Decoder(PackedReply)
_ITEMS_DECODER = msgpack.Decoder(tuple[DirectoryItem, ...])


def encode_message(message: ChangesRequest | PackedReply) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def pack_items(items: Iterable[DirectoryItem]) -> bytes:
    """Encode and compress items for a :class:`PackedReply`."""
    return zlib.compress(_ENCODER.encode(tuple(items)), COMPRESSION_LEVEL)


def decode_request(data: bytes) -> ChangesRequest:
    """Decode a request.

    :raises MalformedMessageError: if the bytes are not a valid request.
    """
    try:
        return _REQUEST_DECODER.decode(data)
    except DecodeError as error:
        raise MalformedMessageError(f"invalid request for changes: {error}") from error


def decode_reply(data: bytes) -> ChangesReply:
    """Decode a reply.

    :raises MalformedMessageError: if the bytes are not a valid reply.
    """
    try:
        reply = _REPLY_DECODER.decode(data)
        items = _unpack_items(reply.items)
    except (DecodeError, zlib.error) as error:
        raise MalformedMessageError(f"invalid reply with changes: {error}") from error
    return ChangesReply(
        as_of=reply.as_of,
        age_seconds=reply.age_seconds,
        is_complete=reply.is_complete,
        items=items,
    )


def _unpack_items(data: bytes) -> tuple[DirectoryItem, ...]:
    unpacker = zlib.decompressobj()
    raw = unpacker.decompress(data, MAX_ITEMS_BYTES)
    if not unpacker.eof:
        raise MalformedMessageError("the items of a reply are truncated or too large")
    return _ITEMS_DECODER.decode(raw)
