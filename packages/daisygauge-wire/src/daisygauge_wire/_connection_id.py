"""QUIC connection IDs that name the agent which issued them.

The layout is based on QUIC-LB (draft-ietf-quic-load-balancers): the routing part
is one encrypted AES block, so that outsiders can neither read nor choose addresses
inside the fleet.

========  =====  ==================================================
offset    bytes  content
========  =====  ==================================================
0         1      key number
1         16     AES-128 block: address, port, service, incarnation, nonce
17        3      truncated keyed BLAKE2b tag of the bytes before it
========  =====  ==================================================
"""

from __future__ import annotations

import hashlib
import hmac
import os
import socket
import struct
from collections.abc import Mapping

from attrs import frozen

from daisygauge_records import Endpoint

from ._keyring import CONNECTION_ID_TAG_BYTES, DerivedKeys, KeyRing

CONNECTION_ID_BYTES = 20
RESET_TOKEN_BYTES = 16
NONCE_BYTES = 4
_TAG_OFFSET = CONNECTION_ID_BYTES - CONNECTION_ID_TAG_BYTES
_ROUTE = struct.Struct(">4sHHI4s")
AGENT_PART = slice(0, 6)
"""Address and port of the issuing agent."""
IDENTITY_PART = slice(6, 12)
"""Service number and incarnation."""
SERVICE_PART = slice(6, 8)
"""Service number."""


@frozen(kw_only=True)
class Route:
    """Routing information that a connection ID carries.

    :param agent: inner datagram address of the issuing agent.
    :param service: service number.
    :param incarnation: number derived from the start time of the issuing agent's
        process.
    """

    agent: Endpoint
    service: int
    incarnation: int


def encode_connection_id(*, route: Route, key: DerivedKeys) -> bytes:
    """Issue a connection ID for a route; a random nonce makes each ID different."""
    block = _ROUTE.pack(
        socket.inet_aton(route.agent.host),
        route.agent.port,
        route.service,
        route.incarnation,
        os.urandom(NONCE_BYTES),
    )
    body = bytes([key.number]) + key.encrypt_block(block)
    return body + key.connection_id_tag(body)


def decrypt_connection_id(
    connection_id: bytes, *, keys: Mapping[int, DerivedKeys]
) -> bytes | None:
    """Authenticate a connection ID and decrypt its routing part.

    ``AGENT_PART``, ``IDENTITY_PART`` and ``SERVICE_PART`` are slices of the result,
    which has the same layout as these fields of an inner datagram.

    :param keys: accepted keys by number.
    :return: the decrypted block, or None for an ID issued with none of the keys.
    """
    if len(connection_id) != CONNECTION_ID_BYTES:
        return None
    key = keys.get(connection_id[0])
    if key is None:
        return None
    body = connection_id[:_TAG_OFFSET]
    if not hmac.compare_digest(
        key.connection_id_tag(body), connection_id[_TAG_OFFSET:]
    ):
        return None
    return key.decrypt_block(body[1:])


def decode_connection_id(
    connection_id: bytes, *, keys: KeyRing, now: float
) -> Route | None:
    """Authenticate a connection ID and decode its route.

    :return: None for an ID issued with none of the accepted keys.
    """
    block = decrypt_connection_id(connection_id, keys=keys.accepted(now=now))
    if block is None:
        return None
    host, port, service, incarnation, _ = _ROUTE.unpack(block)
    return Route(
        agent=Endpoint(host=socket.inet_ntoa(host), port=port),
        service=service,
        incarnation=incarnation,
    )


def derive_reset_token(connection_id: bytes, *, key: DerivedKeys) -> bytes:
    """Derive the stateless reset token of a connection ID (RFC 9000, 10.3.2)."""
    return hashlib.blake2b(
        connection_id, key=key.reset_token_key, digest_size=RESET_TOKEN_BYTES
    ).digest()
