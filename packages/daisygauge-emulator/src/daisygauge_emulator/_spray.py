"""Forwards datagrams between callers and balancers and injects faults."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

MAX_DATAGRAM_BYTES = 65_535
MAX_DATAGRAMS_PER_READ = 64
RECEIVE_BUFFER_BYTES = 4 << 20
CALLER_IDLE_TIMEOUT_SECONDS = 300.0

Address = tuple[str, int]


class Direction(enum.Enum):
    """Datagrams that a fault affects, as seen from the balancers."""

    IN = "in"
    OUT = "out"
    BOTH = "both"

    def includes(self, other: Direction) -> bool:
        """Return whether this direction includes another."""
        return self in (other, Direction.BOTH)


@frozen(kw_only=True)
class ServiceAddress:
    """The address on which callers reach a service."""

    id: str
    host: str
    port: int


@frozen(kw_only=True)
class Balancer:
    """A balancer that receives datagrams of callers.

    :param host: address on which the balancer has bound the services' ports.
    :param ready_url: URL that answers 200 while the balancer accepts traffic.
    """

    id: str
    host: str
    ready_url: str


@frozen(kw_only=True)
class Faults:
    """Network faults between callers and balancers.

    :param loss: share of datagrams that are lost.
    :param duplicate: share of datagrams that are sent twice.
    :param reorder: share of datagrams that are delayed by ``reorder_ms``.
    :param reorder_ms: additional delay of reordered datagrams in milliseconds.
    :param delay_ms: delay of every datagram in milliseconds.
    :param jitter_ms: maximum of an additional, uniformly distributed delay in
        milliseconds.
    :param cuts: direction in which datagrams of a balancer are lost, by its id.
    :param groups: partition of the balancers' ids; callers are assigned to the
        groups round-robin.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 20.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cuts: dict[str, Direction] = field(factory=dict)
    groups: list[list[str]] = field(factory=list)


@define(kw_only=True)
class Counters:
    """Number of datagrams since the start.

    :param without_balancer: dropped because no balancer was live.
    :param lost: dropped by the faults ``loss`` and ``cuts``.
    :param silenced: dropped because their caller was silenced.
    """

    towards_balancers: int = 0
    towards_callers: int = 0
    without_balancer: int = 0
    lost: int = 0
    silenced: int = 0
    send_errors: int = 0


@define(kw_only=True, eq=False)
class Mapping:
    """A caller of a service and its socket towards the balancers.

    :param number: number of the mapping, which selects the group of balancers.
    :param silenced_direction: direction in which the caller's datagrams are
        dropped.
    :param last_used: time of the event loop in seconds.
    """

    number: int
    service: ServiceAddress
    caller: Address
    socket: socket.socket
    silenced_direction: Direction | None = None
    last_used: float = 0.0


def open_socket(address: Address) -> socket.socket:
    """Bind a non-blocking UDP socket.

    :raises OSError: the address is in use or not local.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    return opened


def receive_datagrams(source: socket.socket) -> Iterable[tuple[bytes, Address]]:
    """Yield pending datagrams, ``MAX_DATAGRAMS_PER_READ`` at most."""
    for _ in range(MAX_DATAGRAMS_PER_READ):
        try:
            yield source.recvfrom(MAX_DATAGRAM_BYTES)
        except (BlockingIOError, ConnectionRefusedError):
            return


class Sprayer:
    """Forwards each datagram of a caller to a random live balancer.

    :param source_host: IPv4 address of the sockets towards the balancers.
    :param seed: seed of the choice of balancers and of the faults.
    """

    def __init__(self, *, source_host: str, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.source_host = source_host
        self.random = random.Random(seed)
        self.services: dict[str, ServiceAddress] = {}
        self.service_sockets: dict[str, socket.socket] = {}
        self.balancers: dict[str, Balancer] = {}
        self.live: set[str] = set()
        self.live_groups: list[list[Balancer]] = [[]]
        self.ids_by_host: dict[str, str] = {}
        self.mappings: dict[tuple[str, Address], Mapping] = {}
        self.mappings_opened = 0
        self.faults: Faults | None = None
        self.counters = Counters()

    def set_services(self, services: list[ServiceAddress]) -> None:
        """Bind the addresses of new services; known services stay bound."""
        for service in services:
            if service.id in self.services:
                continue
            opened = open_socket((service.host, service.port))
            self.services[service.id] = service
            self.service_sockets[service.id] = opened
            self.loop.add_reader(opened, self.forward_to_balancers, service, opened)

    def set_balancers(self, balancers: list[Balancer]) -> None:
        """Replace the balancers; an unchanged balancer keeps its readiness."""
        known = self.balancers
        self.balancers = {balancer.id: balancer for balancer in balancers}
        self.live = {
            id for id in self.live if known.get(id) == self.balancers.get(id, "")
        }
        self.ids_by_host = {balancer.host: balancer.id for balancer in balancers}
        self.update_live_groups()

    def set_live(self, id: str, *, live: bool) -> None:
        """Add a balancer to the live ones or withdraw it."""
        if live == (id in self.live) or id not in self.balancers:
            return
        if live:
            self.live.add(id)
        else:
            self.live.discard(id)
        self.update_live_groups()

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults."""
        self.faults = None if faults == Faults() else faults
        self.update_live_groups()

    def update_live_groups(self) -> None:
        """Recompute the live balancers of each group."""
        groups = self.faults.groups if self.faults else []
        wanted = groups or [sorted(self.balancers)]
        self.live_groups = [
            [self.balancers[id] for id in group if id in self.live] for group in wanted
        ]

    def get_or_open_mapping(self, service: ServiceAddress, caller: Address) -> Mapping:
        """Return the caller's mapping; open it for the first datagram."""
        key = (service.id, caller)
        mapping = self.mappings.get(key)
        if mapping is None:
            opened = open_socket((self.source_host, 0))
            mapping = Mapping(
                number=self.mappings_opened,
                service=service,
                caller=caller,
                socket=opened,
            )
            self.mappings_opened += 1
            self.mappings[key] = mapping
            self.loop.add_reader(opened, self.forward_to_caller, mapping)
        mapping.last_used = self.loop.time()
        return mapping

    def forward_to_balancers(
        self, service: ServiceAddress, source: socket.socket
    ) -> None:
        """Forward each pending datagram of callers to a random live balancer."""
        for data, caller in receive_datagrams(source):
            mapping = self.get_or_open_mapping(service, caller)
            targets = self.live_groups[mapping.number % len(self.live_groups)]
            if not targets:
                self.counters.without_balancer += 1
                continue
            target = targets[int(self.random.random() * len(targets))]
            self.counters.towards_balancers += 1
            address = (target.host, service.port)
            self.deliver(
                mapping, Direction.IN, target.id, mapping.socket, data, address
            )

    def forward_to_caller(self, mapping: Mapping) -> None:
        """Forward pending datagrams of balancers to the caller."""
        outer = self.service_sockets[mapping.service.id]
        for data, source in receive_datagrams(mapping.socket):
            balancer = self.ids_by_host.get(source[0], "")
            self.counters.towards_callers += 1
            self.deliver(mapping, Direction.OUT, balancer, outer, data, mapping.caller)

    def deliver(
        self,
        mapping: Mapping,
        direction: Direction,
        balancer: str,
        outer: socket.socket,
        data: bytes,
        address: Address,
    ) -> None:
        """Send one datagram unless its caller is silenced or its balancer cut off.

        :param balancer: id of the balancer, empty if unknown.
        :param outer: socket that sends the datagram.
        """
        if (
            mapping.silenced_direction is not None
            and mapping.silenced_direction.includes(direction)
        ):
            self.counters.silenced += 1
            return
        if self.faults is None:
            self.send(outer, data, address)
            return
        cut = self.faults.cuts.get(balancer)
        if cut is not None and cut.includes(direction):
            self.counters.lost += 1
            return
        self.deliver_with_faults(self.faults, lambda: self.send(outer, data, address))

    def deliver_with_faults(self, faults: Faults, send: Callable[[], None]) -> None:
        """Lose, duplicate, delay or reorder one datagram at random."""
        draw = self.random.random
        if draw() < faults.loss:
            self.counters.lost += 1
            return
        copies = 2 if draw() < faults.duplicate else 1
        for _ in range(copies):
            delay_ms = faults.delay_ms + draw() * faults.jitter_ms
            if draw() < faults.reorder:
                delay_ms += faults.reorder_ms
            if delay_ms:
                self.loop.call_later(delay_ms / 1_000, send)
            else:
                send()

    def send(self, outer: socket.socket, data: bytes, address: Address) -> None:
        """Send one datagram now; it is lost on an error such as a full buffer."""
        try:
            outer.sendto(data, address)
        except OSError:
            self.counters.send_errors += 1

    def silence_callers(
        self, *, service: str | None, caller: str | None, direction: Direction
    ) -> int:
        """Drop all later datagrams of the current callers; new callers still work.

        :param service: id of a service, None for all services.
        :param caller: ``host:port`` of a caller, None for all callers.
        :return: number of callers silenced.
        """
        found = [
            mapping
            for mapping in self.mappings.values()
            if service in (None, mapping.service.id)
            and caller in (None, "{}:{}".format(*mapping.caller))
        ]
        for mapping in found:
            mapping.silenced_direction = direction
        return len(found)

    def close_idle_mappings(self, *, now: float) -> None:
        """Close mappings that were not used for ``CALLER_IDLE_TIMEOUT_SECONDS``.

        :param now: time of the event loop in seconds.
        """
        idle = [
            key
            for key, mapping in self.mappings.items()
            if mapping.last_used + CALLER_IDLE_TIMEOUT_SECONDS < now
        ]
        for key in idle:
            opened = self.mappings.pop(key).socket
            self.loop.remove_reader(opened)
            opened.close()

    def close(self) -> None:
        """Close every socket."""
        sockets = [mapping.socket for mapping in self.mappings.values()]
        for opened in [*sockets, *self.service_sockets.values()]:
            self.loop.remove_reader(opened)
            opened.close()
