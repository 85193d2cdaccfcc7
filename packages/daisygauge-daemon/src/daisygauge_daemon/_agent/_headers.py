"""Translation of header fields from HTTP/3 to HTTP/1.1."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from daisygauge_policy import match_class
from daisygauge_records import Service

from ._model import Headers, HostIncarnation, Request

HOST_HEADER = b"x-daisygauge-host"
FIRST_HEADER = b"x-daisygauge-first"
OUTCOME_HEADER = b"x-daisygauge-outcome"
DEADLINE_HEADER = b"x-deadline-ms"
KEY_HEADER = b"idempotency-key"
REQUEST_ID_HEADER = b"x-request-id"
MAX_DEADLINE_SECONDS = 24 * 3600.0
MAX_KEY_BYTES = 255
# Connection-specific fields (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class MalformedRequestError(ValueError):
    """A header field of a request is malformed.

    :param field: name of the field that the caller has to correct.
    """

    def __init__(self, field: str) -> None:
        super().__init__(f"request refused; correct its field {field}")
        self.field = field


def drop_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the fields that may be forwarded, names in lower case.

    Connection-specific fields and those that ``Connection`` names are dropped.
    """
    kept = [(name.lower(), value) for name, value in headers]
    named = {
        option.strip().lower()
        for name, value in kept
        if name == b"connection"
        for option in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return tuple((name, value) for name, value in kept if name not in dropped)


def _read_deadline(value: bytes | None, *, default: float) -> float:
    if value is None:
        return default
    try:
        milliseconds = int(value)
    except ValueError as error:
        raise MalformedRequestError("x-deadline-ms") from error
    return min(max(milliseconds, 0) / 1000.0, MAX_DEADLINE_SECONDS)


def _read_first_host(value: bytes | None) -> HostIncarnation | None:
    if value is None:
        return None
    agent, separator, incarnation = value.decode("ascii", "replace").partition(";")
    if not separator or not incarnation.isdigit():
        raise MalformedRequestError("x-daisygauge-first")
    return HostIncarnation(agent=agent, incarnation=int(incarnation))


def _read_key(value: bytes | None) -> str | None:
    if value is None:
        return None
    if not value or len(value) > MAX_KEY_BYTES:
        raise MalformedRequestError("idempotency-key")
    return value.decode("latin-1")


def read_request(
    fields: Sequence[tuple[bytes, bytes]],
    *,
    service: Service,
    caller: str,
    fallback_id: str,
    now: float,
) -> Request:
    """Build a request from its HTTP/3 header section.

    :param fallback_id: request id for a request without the field ``x-request-id``.
    :param now: Unix time in seconds.
    :raises MalformedRequestError: a field that the agent reads is malformed.
    """
    pseudo = {name: value for name, value in fields if name.startswith(b":")}
    plain = [(name, value) for name, value in fields if not name.startswith(b":")]
    first_values = {name: value for name, value in reversed(plain)}
    method = pseudo[b":method"].decode("latin-1")
    path = pseudo.get(b":path", b"").decode("latin-1")
    if not path.startswith("/"):
        raise MalformedRequestError(":path")
    request_class = match_class(service, method=method, path=path)
    seconds = _read_deadline(
        first_values.get(DEADLINE_HEADER), default=request_class.deadline_seconds
    )
    request_id = first_values.get(REQUEST_ID_HEADER, fallback_id.encode())
    headers = drop_hop_by_hop(plain)
    if b"host" not in first_values and b":authority" in pseudo:
        headers = ((b"host", pseudo[b":authority"]), *headers)
    return Request(
        id=request_id.decode("latin-1"),
        method=method,
        path=path,
        headers=headers,
        caller=caller,
        request_class=request_class,
        arrived=now,
        deadline=now + seconds,
        idempotency_key=_read_key(first_values.get(KEY_HEADER)),
        first_host=_read_first_host(first_values.get(FIRST_HEADER)),
    )
