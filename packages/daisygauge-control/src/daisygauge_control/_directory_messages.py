"""Messages in which processes tell each other their directories (MessagePack)."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from msgspec import DecodeError, Struct, msgpack

from ._directory import DirectoryItem

MAX_ITEMS_BYTES = 16 * 1024 * 1024
"""Far above a whole directory; what unpacks to more is garbage."""
FASTEST = 1
"""Routes are alike, so even the fastest level takes nine tenths off."""


class MalformedMessageError(ValueError):
    """A peer sent something that is no message; versions may not match."""


class ChangesRequest(Struct, kw_only=True, frozen=True, array_like=True):
    """Asks for every change after a revision.

    :param after: a revision, or 0 for everything.
    :param wait_seconds: how long the answer may wait for a change.
    """

    after: int
    wait_seconds: float


class ChangesReply(Struct, kw_only=True, frozen=True):
    """Changes that a peer holds.

    :param as_of: revision up to which the peer knows every change.
    :param age_seconds: time since the peer's knowledge was current.
    :param is_complete: True when the items are everything, not only changes.
    """

    as_of: int
    age_seconds: float
    is_complete: bool
    items: tuple[DirectoryItem, ...]


class PackedReply(Struct, kw_only=True, frozen=True, array_like=True):
    """A reply as it is sent; many peers are told the same items.

    :param items: what ``pack_items`` returned.
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
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def pack_items(items: Iterable[DirectoryItem]) -> bytes:
    """Return items as they are sent, compressed."""
    return zlib.compress(_ENCODER.encode(tuple(items)), FASTEST)


def decode_request(data: bytes) -> ChangesRequest:
    """Read a request.

    :raises MalformedMessageError: the bytes are no request.
    """
    try:
        return _REQUEST_DECODER.decode(data)
    except DecodeError as error:
        raise MalformedMessageError(f"no request for changes: {error}") from error


def decode_reply(data: bytes) -> ChangesReply:
    """Read a reply.

    :raises MalformedMessageError: the bytes are no reply.
    """
    try:
        reply = _REPLY_DECODER.decode(data)
        items = _unpack_items(reply.items)
    except (DecodeError, zlib.error) as error:
        raise MalformedMessageError(f"no reply with changes: {error}") from error
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
        raise MalformedMessageError("the items of a reply are cut short or too many")
    return _ITEMS_DECODER.decode(raw)
