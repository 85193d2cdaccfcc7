"""Effective models, which records of all schema versions are converted into."""

from __future__ import annotations

from attrs import field, frozen

DEFAULT_DEADLINE_SECONDS = 10.0
DEFAULT_SLOTS = 2
DEFAULT_MAX_CONNECTIONS = 2_000


@frozen(kw_only=True, order=True)
class Endpoint:
    """An IPv4 address and a port.

    :param host: dotted IPv4 address.
    :param port: port number, 1 to 65535.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen(kw_only=True)
class RequestClass:
    """Policy for one kind of request of a service.

    A request belongs to the first class whose method and path prefix match it.

    :param method: HTTP method, or ``*`` for every method.
    :param worth: value of one request that is answered completely and in time.
    :param deadline_seconds: maximum time from arrival to the end of the answer.
    :param streaming: True for long answers, which occupy a connection and no slot.
    :param idempotent: True when the system may run the request more than once.
    """

    name: str
    method: str = "*"
    path_prefix: str = "/"
    worth: float = 1.0
    deadline_seconds: float = DEFAULT_DEADLINE_SECONDS
    streaming: bool = False
    idempotent: bool = False


@frozen(kw_only=True)
class RendezvousPlacement:
    """Weighted rendezvous hashing; busy agents pass first flights on.

    :param candidates: number of agents that a new flow is offered to, in order.
    :param pass_margin: share by which the load of an agent exceeds that of the least
        loaded peer when it passes a first flight on; None disables passing on.
    :param ramp_seconds: duration of the slow start, in which the weight of a cold
        host grows.
    """

    candidates: int = 3
    pass_margin: float | None = 0.15
    ramp_seconds: float = 10.0


@frozen(kw_only=True)
class RoundRobinPlacement:
    """Round robin by each balancer; a baseline for experiments."""

    candidates: int = 3


@frozen(kw_only=True)
class PublishedLoadPlacement:
    """Power of two choices on the published load; a baseline for experiments."""

    candidates: int = 3


Placement = RendezvousPlacement | RoundRobinPlacement | PublishedLoadPlacement


@frozen(kw_only=True)
class WorthQueue:
    """A bounded queue ordered by worth per expected slot time.

    :param capacity_per_slot: maximum number of waiting requests per slot.
    """

    capacity_per_slot: int = 16


@frozen(kw_only=True)
class FifoQueue:
    """A bounded first-in, first-out queue; a baseline for experiments."""

    capacity_per_slot: int = 16


Queue = WorthQueue | FifoQueue


@frozen(kw_only=True)
class LoadHandOff:
    """Requests that have not run are handed to less loaded peer agents.

    :param margin: minimum difference to the peer in queued requests per slot.
    """

    margin: float = 0.5


@frozen(kw_only=True)
class NoHandOff:
    """Requests run at the agent that terminates their connection."""


HandOff = LoadHandOff | NoHandOff


@frozen(kw_only=True)
class Service:
    """A service behind one address.

    :param number: service number inside the system, 1 to 65535, unique.
    :param address: address and port that callers use.
    :param classes: request classes; the first match applies.
    :param retry_share: maximum number of retries as a share of first attempts.
    :param caller_share: maximum share of a host's queue that one caller may fill.
    """

    id: str
    number: int
    address: Endpoint
    classes: tuple[RequestClass, ...] = ()
    placement: Placement = field(factory=RendezvousPlacement)
    queue: Queue = field(factory=WorthQueue)
    hand_off: HandOff = field(factory=LoadHandOff)
    retry_share: float = 0.1
    caller_share: float = 0.5


@frozen(kw_only=True)
class Upstream:
    """A host of a service and the agent beside it.

    :param id: instance ID of the agent, the same as in the instance list.
    :param agent: address of the agent's inner datagram socket.
    :param peer_port: port of the agent's gRPC server, on the same address.
    :param slots: number of requests that the host runs at once.
    :param max_connections: number of connections that the host may hold.
    """

    id: str
    service: str
    agent: Endpoint
    peer_port: int
    failure_domain: str
    slots: int = DEFAULT_SLOTS
    max_connections: int = DEFAULT_MAX_CONNECTIONS


@frozen(kw_only=True)
class Key:
    """A secret shared by balancers and agents.

    :param number: number that identifies the key in packets, 0 to 255.
    :param secret: 32 random bytes in hexadecimal.
    :param not_before: Unix time in seconds from which new packets use the key.
    :param not_after: Unix time in seconds after which the key is refused.
    """

    id: str
    number: int
    secret: str = field(repr=False)
    not_before: float = 0.0
    not_after: float = float("inf")


Spec = Service | Upstream | Key


@frozen(kw_only=True)
class Record:
    """A published record after conversion into the effective model.

    :param kind: ``service``, ``upstream`` or ``key``.
    :param revision: number that increases with every change of the record.
    :param spec: the effective content, or None for a deletion (tombstone).
    :param digest: hexadecimal digest of the published content, which decides between
        two contents with the same revision.
    :param document: the published content in canonical form, for other daemons.
    """

    kind: str
    id: str
    revision: int
    spec: Spec | None
    digest: str
    document: bytes = field(default=b"", repr=False, eq=False)
