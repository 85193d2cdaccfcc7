"""Encryption of messages between daemons, because records contain secrets."""

from __future__ import annotations

import os
import zlib
from typing import TypeVar

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM
from google.protobuf.message import DecodeError, Message

from daisygauge_wire import DerivedKeys, KeyRing
from daisygauge_wire.control_pb2 import Sealed

from ._credentials import NoKeyError

NONCE_BYTES = 12
COMPRESSION_LEVEL = 6
MAX_MESSAGE_BYTES = 4 << 20
FRAMING_BYTES = 14
"""Size of an HTTP/2 frame header and a gRPC message prefix."""

Kind = TypeVar("Kind", bound=Message)


class UnreadableMessageError(ValueError):
    """A message is invalid or can't be decrypted, so the peer is not trusted."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"{reason}; check that both daemons hold the same keys")


def seal(message: Message, *, keys: KeyRing, now: float) -> Sealed:
    """Compress and encrypt a message under the newest key.

    :param now: Unix time in seconds.
    :raises NoKeyError: if no key is in force.
    """
    key = keys.newest(now=now)
    if key is None:
        raise NoKeyError
    plain = zlib.compress(message.SerializeToString(), COMPRESSION_LEVEL)
    nonce = os.urandom(NONCE_BYTES)
    payload = _cipher(key).encrypt(nonce, plain, None)
    return Sealed(key=key.number, nonce=nonce, payload=payload)


def open_sealed(sealed: Sealed, kind: type[Kind], *, keys: KeyRing, now: float) -> Kind:
    """Decrypt and decompress a message.

    :param now: Unix time in seconds.
    :raises UnreadableMessageError: if no key in force opens the message.
    """
    key = keys.find(sealed.key, now=now)
    if key is None:
        raise UnreadableMessageError(f"key {sealed.key} is not in force")
    try:
        plain = _cipher(key).decrypt(sealed.nonce, sealed.payload, None)
        return kind.FromString(_decompress(plain))
    except (InvalidTag, ValueError, zlib.error, DecodeError) as error:
        reason = f"the message cannot be opened ({type(error).__name__})"
        raise UnreadableMessageError(reason) from None


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    plain = stream.decompress(data, MAX_MESSAGE_BYTES)
    if stream.unconsumed_tail:
        raise ValueError("too long")
    return plain


def _cipher(key: DerivedKeys) -> AESGCM:
    return AESGCM(key.peer_call_sealing_key)


def sealed_size(sealed: Sealed) -> int:
    """Return the size of a message on its stream in bytes."""
    return sealed.ByteSize() + FRAMING_BYTES
