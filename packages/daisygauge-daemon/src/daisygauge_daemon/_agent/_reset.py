"""Stateless resets for connections that no longer exist (RFC 9000, 10.3)."""

from __future__ import annotations

import os

from daisygauge_wire import DerivedKeys, derive_reset_token

MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 43
RESETS_PER_SECOND = 200.0
TOKEN_BYTES = 16
_FIXED_BIT = 0x40
_SHORT_HEADER_MASK = 0x3F


def build_stateless_reset(
    *, connection_id: bytes, key: DerivedKeys, packet_bytes: int
) -> bytes | None:
    """Build the stateless reset that answers a short-header packet.

    :param key: key with which the connection ID was issued.
    :param packet_bytes: length of the packet to answer. A reset is shorter, so
        that two endpoints can't answer each other's resets forever.
    :return: None when the packet is too short to be answered.
    """
    size = min(packet_bytes - 1, MAX_RESET_BYTES)
    if size < MIN_RESET_BYTES:
        return None
    unpredictable = bytearray(os.urandom(size - TOKEN_BYTES))
    unpredictable[0] = unpredictable[0] & _SHORT_HEADER_MASK | _FIXED_BIT
    return bytes(unpredictable) + derive_reset_token(connection_id, key=key)
