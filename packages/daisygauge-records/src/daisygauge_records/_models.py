"""Effective records: the one model into which every schema version is converted."""

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
    """How one kind of request of a service is treated.

    The first class whose method and path prefix match a request applies.

    :param method: HTTP method, or ``*`` for every method.
    :param worth: value of one request answered whole and in time.
    :param deadline_seconds: longest time from arrival to the end of the answer.
    :param streaming: True for long answers, which use a connection, not a slot.
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
    """Weighted rendezvous hashing with passing on to less loaded agents.

    :param candidates: agents offered a new flow, in order.
    :param pass_margin: relative load above the best peer at which an agent
        passes a first flight on; None disables passing.
    :param ramp_seconds: time over which the weight of a cold host grows.
    """

    candidates: int = 3
    pass_margin: float | None = 0.15
    ramp_seconds: float = 10.0


@frozen(kw_only=True)
class RoundRobinPlacement:
    """Each balancer deals new flows out in turn; a baseline for experiments."""

    candidates: int = 3


@frozen(kw_only=True)
class PublishedLoadPlacement:
    """Power of two choices on the published load; a baseline for experiments."""

    candidates: int = 3


Placement = RendezvousPlacement | RoundRobinPlacement | PublishedLoadPlacement


@frozen(kw_only=True)
class WorthQueue:
    """A bounded queue ordered by worth per expected slot time.

    :param capacity_per_slot: waiting requests for each slot.
    """

    capacity_per_slot: int = 16


@frozen(kw_only=True)
class FifoQueue:
    """A bounded queue in order of arrival; a baseline for experiments."""

    capacity_per_slot: int = 16


Queue = WorthQueue | FifoQueue


@frozen(kw_only=True)
class LoadHandOff:
    """Hands requests that have not run to a less loaded peer agent.

    :param margin: queued requests for each slot by which a peer must be better.
    """

    margin: float = 0.5


@frozen(kw_only=True)
class NoHandOff:
    """Requests run at the agent that ends their connection."""


HandOff = LoadHandOff | NoHandOff


@frozen(kw_only=True)
class Service:
    """A service behind one address.

    :param number: service number inside the system, 1 to 65535, unique.
    :param address: address and port that callers use.
    :param classes: request classes, first match wins.
    :param retry_share: retries allowed as a share of first tries.
    :param caller_share: largest share of a host's queue for one caller.
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

    :param id: instance id of the agent, equal to its id in the instance list.
    :param agent: address of the agent's inner datagram socket.
    :param peer_port: port of the agent's grpc server, on the same address.
    :param slots: requests that the host runs at once.
    :param max_connections: connections that the host may hold.
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

    :param number: key id carried in packets, 0 to 255.
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
    """One published record after conversion into the effective model.

    :param kind: ``service``, ``upstream`` or ``key``.
    :param revision: position in the order of the record's changes.
    :param spec: the effective content, or None for a deletion (tombstone).
    :param digest: hexadecimal digest of the published content, which settles
        two contents published with one revision.
    :param document: the published content in canonical form, for other daemons.
    """

    kind: str
    id: str
    revision: int
    spec: Spec | None
    digest: str
    document: bytes = field(default=b"", repr=False, eq=False)
