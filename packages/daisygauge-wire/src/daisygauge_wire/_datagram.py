"""Inner datagrams, which balancers and agents exchange over UDP.

A datagram consists of a header, a list of candidate agents, a payload and an
authentication tag. Numbers are in network byte order. The tag is the last eight
bytes: a keyed BLAKE2b hash of at most the first ``MAX_AUTHENTICATED_BYTES`` of
what precedes it. Only datagrams that carry QUIC packets are longer than that, and
QUIC itself authenticates these packets.
"""

from __future__ import annotations

import enum
import hmac
import socket
import struct

from attrs import field, frozen

from daisygauge_records import Endpoint

from ._keyring import DATAGRAM_TAG_BYTES, DerivedKeys, KeyRing

VERSION = 1
TAG_BYTES = DATAGRAM_TAG_BYTES
MAX_AUTHENTICATED_BYTES = 128
MAX_CANDIDATES = 8
MAX_HOPS = 2
ANY_INCARNATION = 0
_HEADER = struct.Struct(">BBBBBBHI4sH4sH4sH")
HEADER_BYTES = _HEADER.size
_ENDPOINT = struct.Struct(">4sH")
NO_ENDPOINT = Endpoint(host="0.0.0.0", port=0)


class Kind(enum.IntEnum):
    """Purpose of an inner datagram."""

    FORWARD = 1
    """A caller's packet that a balancer forwards to an agent."""
    REPLY = 2
    """A packet for a caller that an agent sends through a balancer."""
    PLACEMENT = 3
    """Reports what an agent did with a first flight; the payload is its
    destination connection ID."""
    PROBE = 4
    """Liveness probe of a balancer by an agent; the payload is a load report."""
    PROBE_ANSWER = 5
    """Answer of a balancer to a probe."""
    LOAD_REPORT = 6
    """Load of the sending agent, for its peers; the payload is a load report."""


class PlacementStatus(enum.IntEnum):
    """Result of offering a first flight to an agent."""

    NONE = 0
    ACCEPTED = 1
    PASSED_ON = 2
    LEAVING = 3
    FULL = 4
    WRONG_SERVICE = 5
    WRONG_INCARNATION = 6
    IGNORED = 7
    """The packet can't open a connection at any agent."""


@frozen(kw_only=True)
class Datagram:
    """One inner datagram.

    :param service: service number that the receiver must serve.
    :param incarnation: incarnation that the receiver must have, or
        ``ANY_INCARNATION``. In probes, their answers and load reports, the
        incarnation of the sender.
    :param hops: number of agents that have passed a first flight on.
    :param caller: source address of the caller's packets.
    :param address: service address that the caller uses.
    :param sender: inner address of the balancer that answers go to, or of the
        sender of a probe or load report.
    :param candidates: agents that a first flight may still be passed to.
    """

    kind: Kind
    service: int = 0
    incarnation: int = ANY_INCARNATION
    status: PlacementStatus = PlacementStatus.NONE
    hops: int = 0
    caller: Endpoint = NO_ENDPOINT
    address: Endpoint = NO_ENDPOINT
    sender: Endpoint = NO_ENDPOINT
    candidates: tuple[Endpoint, ...] = ()
    payload: bytes = field(default=b"", repr=False)


class MalformedDatagramError(ValueError):
    """An inner datagram can't be authenticated or decoded.

    :param reason: short label under which the dropped datagram is counted.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"inner datagram refused ({reason}); check that both ends hold the "
            "same key records and run compatible versions"
        )
        self.reason = reason


def has_valid_tag(data: bytes, *, key: DerivedKeys) -> bool:
    """Tell whether the tag at the end of an inner datagram is valid."""
    authenticated = data[: min(len(data) - TAG_BYTES, MAX_AUTHENTICATED_BYTES)]
    return hmac.compare_digest(key.datagram_tag(authenticated), data[-TAG_BYTES:])


def encode_datagram(datagram: Datagram, *, key: DerivedKeys) -> bytes:
    """Encode an inner datagram and append its tag.

    :raises ValueError: more than ``MAX_CANDIDATES`` candidates.
    """
    if len(datagram.candidates) > MAX_CANDIDATES:
        raise ValueError(f"at most {MAX_CANDIDATES} candidates fit; shorten the list")
    inet_aton = socket.inet_aton
    header = _HEADER.pack(
        VERSION,
        datagram.kind,
        key.number,
        datagram.status,
        datagram.hops,
        len(datagram.candidates),
        datagram.service,
        datagram.incarnation,
        inet_aton(datagram.caller.host),
        datagram.caller.port,
        inet_aton(datagram.address.host),
        datagram.address.port,
        inet_aton(datagram.sender.host),
        datagram.sender.port,
    )
    candidates = b"".join(
        _ENDPOINT.pack(inet_aton(candidate.host), candidate.port)
        for candidate in datagram.candidates
    )
    body = header + candidates + datagram.payload
    return body + key.datagram_tag(body[:MAX_AUTHENTICATED_BYTES])


def _decode_candidates(data: bytes, count: int) -> tuple[Endpoint, ...]:
    if count > MAX_CANDIDATES:
        raise MalformedDatagramError("candidates")
    end = _HEADER.size + count * _ENDPOINT.size
    if end + TAG_BYTES > len(data):
        raise MalformedDatagramError("short")
    return tuple(
        Endpoint(host=socket.inet_ntoa(host), port=port)
        for host, port in _ENDPOINT.iter_unpack(data[_HEADER.size : end])
    )


def decode_datagram(data: bytes, *, keys: KeyRing, now: float) -> Datagram:
    """Authenticate and decode an inner datagram.

    :param now: Unix time in seconds, for the expiry of keys.
    :raises MalformedDatagramError: the datagram is too short, has another version,
        an unknown key, a wrong tag, too many candidates or an undefined kind or
        status.
    """
    if len(data) < _HEADER.size + TAG_BYTES:
        raise MalformedDatagramError("short")
    if data[0] != VERSION:
        raise MalformedDatagramError("version")
    key = keys.find(data[2], now=now)
    if key is None:
        raise MalformedDatagramError("key")
    if not hmac.compare_digest(
        key.datagram_tag(data[:-TAG_BYTES][:MAX_AUTHENTICATED_BYTES]), data[-TAG_BYTES:]
    ):
        raise MalformedDatagramError("tag")
    fields = _HEADER.unpack_from(data)
    _, kind, _, status, hops, count, service, incarnation = fields[:8]
    caller, caller_port, address, address_port, sender, sender_port = fields[8:]
    candidates = _decode_candidates(data, count)
    payload_start = _HEADER.size + count * _ENDPOINT.size
    inet_ntoa = socket.inet_ntoa
    try:
        return Datagram(
            kind=Kind(kind),
            service=service,
            incarnation=incarnation,
            status=PlacementStatus(status),
            hops=hops,
            caller=Endpoint(host=inet_ntoa(caller), port=caller_port),
            address=Endpoint(host=inet_ntoa(address), port=address_port),
            sender=Endpoint(host=inet_ntoa(sender), port=sender_port),
            candidates=candidates,
            payload=data[payload_start:-TAG_BYTES],
        )
    except ValueError as error:
        raise MalformedDatagramError("field") from error
