"""Specs of schema version 1, which are flat, and their conversion."""

from __future__ import annotations

from typing import TypeVar

from attrs import field, frozen

from ._errors import InvalidValueError
from ._models import (
    DEFAULT_DEADLINE_SECONDS,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_SLOTS,
    Endpoint,
    FifoQueue,
    HandOff,
    Key,
    LoadHandOff,
    NoHandOff,
    Placement,
    PublishedLoadPlacement,
    Queue,
    RendezvousPlacement,
    RequestClass,
    RoundRobinPlacement,
    Service,
    Upstream,
    WorthQueue,
)

Choice = TypeVar("Choice")

MILLISECONDS_PER_SECOND = 1_000.0

PLACEMENTS: dict[str, Placement] = {
    "rendezvous": RendezvousPlacement(),
    "round-robin": RoundRobinPlacement(),
    "published-load": PublishedLoadPlacement(),
}
QUEUES: dict[str, Queue] = {"worth": WorthQueue(), "fifo": FifoQueue()}
HAND_OFFS: dict[bool, HandOff] = {True: LoadHandOff(), False: NoHandOff()}


@frozen(kw_only=True)
class RequestClass1:
    """A request class in schema version 1.

    :param match: method and path prefix, for example ``GET /feed``.
    """

    name: str
    match: str = "* /"
    worth: float = 1.0
    deadline_ms: float = DEFAULT_DEADLINE_SECONDS * MILLISECONDS_PER_SECOND
    streaming: bool = False
    idempotent: bool = False


@frozen(kw_only=True)
class Service1:
    """A service in schema version 1."""

    number: int
    host: str
    port: int
    classes: tuple[RequestClass1, ...] = ()
    placement: str = "rendezvous"
    queue: str = "worth"
    hand_off: bool = True


@frozen(kw_only=True)
class Upstream1:
    """An upstream in schema version 1."""

    service: str
    host: str
    port: int
    peer_port: int
    failure_domain: str
    slots: int = DEFAULT_SLOTS
    max_connections: int = DEFAULT_MAX_CONNECTIONS


@frozen(kw_only=True)
class Key1:
    """A key in schema version 1."""

    number: int
    secret: str = field(repr=False)
    valid_from: float = 0.0
    valid_until: float = float("inf")


Spec1 = Service1 | Upstream1 | Key1


def convert(*, id: str, spec: Spec1) -> Service | Upstream | Key:
    """Convert a spec of schema version 1 into the effective model.

    :raises InvalidValueError: a field can't be converted; the path names the field of
        schema version 1.
    """
    match spec:
        case Service1():
            return _convert_service(id, spec)
        case Upstream1():
            return _convert_upstream(id, spec)
        case Key1():
            return _convert_key(id, spec)


def _convert_service(id: str, spec: Service1) -> Service:
    return Service(
        id=id,
        number=spec.number,
        address=Endpoint(host=spec.host, port=spec.port),
        classes=tuple(
            _convert_class(index, entry) for index, entry in enumerate(spec.classes)
        ),
        placement=_select("placement", spec.placement, PLACEMENTS),
        queue=_select("queue", spec.queue, QUEUES),
        hand_off=HAND_OFFS[spec.hand_off],
    )


def _convert_class(index: int, spec: RequestClass1) -> RequestClass:
    method, separator, path_prefix = spec.match.partition(" ")
    if not separator:
        raise InvalidValueError.of(
            f"{spec.match!r} is not acceptable",
            remedy="write a method, a space and a path prefix, such as 'GET /feed'",
            path=f"classes[{index}].match",
        )
    return RequestClass(
        name=spec.name,
        method=method,
        path_prefix=path_prefix,
        worth=spec.worth,
        deadline_seconds=spec.deadline_ms / MILLISECONDS_PER_SECOND,
        streaming=spec.streaming,
        idempotent=spec.idempotent,
    )


def _convert_upstream(id: str, spec: Upstream1) -> Upstream:
    return Upstream(
        id=id,
        service=spec.service,
        agent=Endpoint(host=spec.host, port=spec.port),
        peer_port=spec.peer_port,
        failure_domain=spec.failure_domain,
        slots=spec.slots,
        max_connections=spec.max_connections,
    )


def _convert_key(id: str, spec: Key1) -> Key:
    return Key(
        id=id,
        number=spec.number,
        secret=spec.secret,
        not_before=spec.valid_from,
        not_after=spec.valid_until,
    )


def _select(field_name: str, name: str, table: dict[str, Choice]) -> Choice:
    if name in table:
        return table[name]
    raise InvalidValueError.of(
        f"{name!r} is unknown",
        remedy=f"use one of {sorted(table)}",
        path=field_name,
    )


SCHEMA_1_FIELDS: dict[str, str] = {
    "address.host": "host",
    "address.port": "port",
    "agent.host": "host",
    "agent.port": "port",
    "not_before": "valid_from",
    "not_after": "valid_until",
    "method": "match",
    "path_prefix": "match",
    "deadline_seconds": "deadline_ms",
}
"""Field names of schema version 1 by path in the effective model."""
