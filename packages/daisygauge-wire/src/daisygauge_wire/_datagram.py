"""The datagram that balancers and agents exchange.

Every field is in network byte order; the last eight bytes are a keyed BLAKE2b
tag of the first ``COVERED_BYTES`` of what is before them. That is the whole of
every datagram but those that carry QUIC packets, which QUIC itself protects.
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
COVERED_BYTES = 128
MAX_CANDIDATES = 8
MAX_HOPS = 2
ANY_INCARNATION = 0
_HEADER = struct.Struct(">BBBBBBHI4sH4sH4sH")
HEADER_BYTES = _HEADER.size
_ENDPOINT = struct.Struct(">4sH")
NO_ENDPOINT = Endpoint(host="0.0.0.0", port=0)


class Kind(enum.IntEnum):
    """What an inner datagram is for."""

    FORWARD = 1
    """A caller's packet on its way to an agent."""
    REPLY = 2
    """A packet for a caller on its way to a balancer."""
    PLACEMENT = 3
    """What an agent did with a first flight; the payload is the caller's ID."""
    PROBE = 4
    """An agent asks whether a balancer is alive; the payload is a load report."""
    PROBE_ANSWER = 5
    """A balancer is alive."""
    LOAD_REPORT = 6
    """The load of one agent, for its peers; the payload is a load report."""


class PlacementStatus(enum.IntEnum):
    """What became of a first flight."""

    NONE = 0
    ACCEPTED = 1
    PASSED_ON = 2
    LEAVING = 3
    FULL = 4
    WRONG_SERVICE = 5
    WRONG_INCARNATION = 6
    IGNORED = 7
    """The packet opens no connection here or anywhere else."""


@frozen(kw_only=True)
class Datagram:
    """One inner datagram.

    :param service: service number that the receiver must serve.
    :param incarnation: incarnation that the receiver must have, or
        ``ANY_INCARNATION``. In probes, answers and load reports: the sender's own.
    :param hops: how often a first flight was passed on.
    :param caller: where the caller's packets come from.
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
    """An inner datagram that can't be trusted or read.

    :param reason: short label used by the drop counter.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"inner datagram refused ({reason}); check that both ends hold the "
            "same key records and run compatible versions"
        )
        self.reason = reason


def has_valid_tag(data: bytes, *, key: DerivedKeys) -> bool:
    """Check the tag at the end of an inner datagram."""
    covered = data[: min(len(data) - TAG_BYTES, COVERED_BYTES)]
    return hmac.compare_digest(key.datagram_tag(covered), data[-TAG_BYTES:])


def encode_datagram(datagram: Datagram, *, key: DerivedKeys) -> bytes:
    """Serialize and sign an inner datagram.

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
    return body + key.datagram_tag(body[:COVERED_BYTES])


def _read_candidates(data: bytes, count: int) -> tuple[Endpoint, ...]:
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
    """Check and read an inner datagram.

    :param now: Unix time in seconds, for the expiry of keys.
    :raises MalformedDatagramError: short, of another version, unsigned or with
        a field out of range.
    """
    if len(data) < _HEADER.size + TAG_BYTES:
        raise MalformedDatagramError("short")
    if data[0] != VERSION:
        raise MalformedDatagramError("version")
    key = keys.find(data[2], now=now)
    if key is None:
        raise MalformedDatagramError("key")
    if not hmac.compare_digest(
        key.datagram_tag(data[:-TAG_BYTES][:COVERED_BYTES]), data[-TAG_BYTES:]
    ):
        raise MalformedDatagramError("tag")
    fields = _HEADER.unpack_from(data)
    _, kind, _, status, hops, count, service, incarnation = fields[:8]
    caller, caller_port, address, address_port, sender, sender_port = fields[8:]
    candidates = _read_candidates(data, count)
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
