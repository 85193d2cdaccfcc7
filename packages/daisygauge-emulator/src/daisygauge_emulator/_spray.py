"""Passing of datagrams between callers and balancers, with faults."""

from __future__ import annotations

import asyncio
import enum
import random
import socket
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

MAX_DATAGRAM_BYTES = 65_535
DATAGRAMS_PER_WAKE = 64
RECEIVE_BUFFER_BYTES = 4 << 20
IDLE_CALLER_SECONDS = 300.0

Address = tuple[str, int]


class Direction(enum.Enum):
    """Which datagrams a fault concerns, as seen from the balancers."""

    IN = "in"
    OUT = "out"
    BOTH = "both"

    def covers(self, other: Direction) -> bool:
        """Tell whether this direction includes another."""
        return self in (other, Direction.BOTH)


@frozen(kw_only=True)
class ServiceAddress:
    """A service address that callers use."""

    id: str
    host: str
    port: int


@frozen(kw_only=True)
class Balancer:
    """A balancer that datagrams are sprayed to.

    :param host: address to which it has bound the services' ports.
    :param ready_url: URL that answers 200 while it wants traffic.
    """

    id: str
    host: str
    ready_url: str


@frozen(kw_only=True)
class Faults:
    """Faults of the way between callers and balancers.

    :param loss: share of datagrams lost.
    :param duplicate: share of datagrams sent twice.
    :param reorder: share of datagrams held back by ``reorder_ms``.
    :param delay_ms: delay of every datagram.
    :param jitter_ms: further delay, uniformly drawn.
    :param cuts: direction in which a balancer is cut off, by its id.
    :param groups: partition of the balancers' ids; callers are dealt out to the
        groups in turn.
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
    """Datagrams so far."""

    towards_balancers: int = 0
    towards_callers: int = 0
    without_balancer: int = 0
    lost: int = 0
    silenced: int = 0
    send_errors: int = 0


@define(kw_only=True, eq=False)
class Mapping:
    """One caller of one service and its socket towards the balancers.

    :param silent: directions in which this caller's datagrams are dropped.
    """

    number: int
    service: ServiceAddress
    caller: Address
    socket: socket.socket
    silent: Direction | None = None
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


def receive_all(source: socket.socket) -> Iterable[tuple[bytes, Address]]:
    """Yield what a socket holds, up to ``DATAGRAMS_PER_WAKE`` datagrams."""
    for _ in range(DATAGRAMS_PER_WAKE):
        try:
            yield source.recvfrom(MAX_DATAGRAM_BYTES)
        except (BlockingIOError, ConnectionRefusedError):
            return


class Sprayer:
    """The sockets of the fabric and the choice of a balancer per datagram."""

    def __init__(self, *, source_host: str, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.source_host = source_host
        self.random = random.Random(seed)
        self.services: dict[str, ServiceAddress] = {}
        self.service_sockets: dict[str, socket.socket] = {}
        self.balancers: dict[str, Balancer] = {}
        self.live: set[str] = set()
        self.targets: list[list[Balancer]] = [[]]
        self.ids_by_host: dict[str, str] = {}
        self.mappings: dict[tuple[str, Address], Mapping] = {}
        self.opened = 0
        self.faults: Faults | None = None
        self.counters = Counters()

    def set_services(self, services: list[ServiceAddress]) -> None:
        """Bind the addresses that are new; the others stay."""
        for service in services:
            if service.id in self.services:
                continue
            opened = open_socket((service.host, service.port))
            self.services[service.id] = service
            self.service_sockets[service.id] = opened
            self.loop.add_reader(opened, self.read_callers, service, opened)

    def set_balancers(self, balancers: list[Balancer]) -> None:
        """Replace the balancers; one that is known stays live."""
        known = self.balancers
        self.balancers = {balancer.id: balancer for balancer in balancers}
        self.live = {
            id for id in self.live if known.get(id) == self.balancers.get(id, "")
        }
        self.ids_by_host = {balancer.host: balancer.id for balancer in balancers}
        self.update_targets()

    def set_live(self, id: str, *, live: bool) -> None:
        """Use a balancer or withdraw it."""
        if live == (id in self.live) or id not in self.balancers:
            return
        if live:
            self.live.add(id)
        else:
            self.live.discard(id)
        self.update_targets()

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults."""
        self.faults = None if faults == Faults() else faults
        self.update_targets()

    def update_targets(self) -> None:
        """Recompute the live balancers of each group."""
        groups = self.faults.groups if self.faults else []
        wanted = groups or [sorted(self.balancers)]
        self.targets = [
            [self.balancers[id] for id in group if id in self.live] for group in wanted
        ]

    def mapping_for(self, service: ServiceAddress, caller: Address) -> Mapping:
        """Return the caller's mapping, opened at its first datagram."""
        key = (service.id, caller)
        mapping = self.mappings.get(key)
        if mapping is None:
            opened = open_socket((self.source_host, 0))
            mapping = Mapping(
                number=self.opened, service=service, caller=caller, socket=opened
            )
            self.opened += 1
            self.mappings[key] = mapping
            self.loop.add_reader(opened, self.read_balancers, mapping)
        mapping.last_used = self.loop.time()
        return mapping

    def read_callers(self, service: ServiceAddress, source: socket.socket) -> None:
        """Pass what callers have sent to a random live balancer each."""
        for data, caller in receive_all(source):
            mapping = self.mapping_for(service, caller)
            targets = self.targets[mapping.number % len(self.targets)]
            if not targets:
                self.counters.without_balancer += 1
                continue
            target = targets[int(self.random.random() * len(targets))]
            self.counters.towards_balancers += 1
            address = (target.host, service.port)
            self.deliver(
                mapping, Direction.IN, target.id, mapping.socket, data, address
            )

    def read_balancers(self, mapping: Mapping) -> None:
        """Pass what balancers have sent to the caller."""
        outer = self.service_sockets[mapping.service.id]
        for data, source in receive_all(mapping.socket):
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
        """Send one datagram, subject to faults."""
        if mapping.silent is not None and mapping.silent.covers(direction):
            self.counters.silenced += 1
            return
        if self.faults is None:
            self.send(outer, data, address)
            return
        cut = self.faults.cuts.get(balancer)
        if cut is not None and cut.covers(direction):
            self.counters.lost += 1
            return
        self.deliver_late(self.faults, lambda: self.send(outer, data, address))

    def deliver_late(self, faults: Faults, send: Callable[[], None]) -> None:
        """Lose, double, delay or reorder one datagram."""
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
        """Send one datagram now; a full buffer loses it."""
        try:
            outer.sendto(data, address)
        except OSError:
            self.counters.send_errors += 1

    def forget(
        self, *, service: str | None, caller: str | None, direction: Direction
    ) -> int:
        """Silence present callers for good; new ones are not concerned.

        :param service: a service's id, or None for all services.
        :param caller: ``host:port`` of one caller, or None for all.
        :return: number of callers silenced.
        """
        found = [
            mapping
            for mapping in self.mappings.values()
            if service in (None, mapping.service.id)
            and caller in (None, "{}:{}".format(*mapping.caller))
        ]
        for mapping in found:
            mapping.silent = direction
        return len(found)

    def drop_idle_callers(self, *, now: float) -> None:
        """Close the sockets of callers that have been quiet for long.

        :param now: time of the event loop in seconds.
        """
        idle = [
            key
            for key, mapping in self.mappings.items()
            if mapping.last_used + IDLE_CALLER_SECONDS < now
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
