"""Hosts and routes as one process believes them, merged key by key.

The directory serves relayed flows. It is filled from the platform or from other
processes; whatever the order in which changes arrive, each key keeps its highest
revision, so that a belief never goes back within a process's life.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from msgspec import Struct, field
from msgspec.structs import replace

LAPSE_GRACE_SECONDS = 2.0
"""Entries that lapsed while the platform was away are back within this time."""
OUTAGE_MEMORY_SECONDS = 8.0
"""A removal this soon after the platform was away may be such a lapse."""
SETTLING_SECONDS = LAPSE_GRACE_SECONDS + 0.5
"""A view this old has met whatever lapsed before this process began; the half second
is for the way of a change."""
LONGEST_CURRENT_SECONDS = 2.0
"""A view confirmed within this time is current; sources confirm it every second."""
NO_REVISION = 0


class HostState(enum.Enum):
    """What a host says of itself."""

    READY = "ready"
    DRAINING = "draining"


class HostRecord(Struct, kw_only=True, frozen=True, array_like=True, tag="host"):
    """One life of an upstream, as it announces itself.

    :param address: IPv4 address, shared with the agent beside it.
    :param port: where the upstream takes packets.
    :param slots: requests that it runs at a time.
    :param slow_start_seconds: remaining slow-start time.
    :param incarnation: Unix time of its start in milliseconds.
    """

    id: str
    service: str
    address: str
    port: int
    failure_domain: str
    state: HostState
    slots: int
    slow_start_seconds: float = 0.0
    incarnation: int = 0


class ServiceShare(Struct, kw_only=True, frozen=True, array_like=True):
    """A service that a route names, with its relative weight."""

    service: str
    weight: float = 1.0


class RouteRecord(Struct, kw_only=True, frozen=True, array_like=True):
    """What a service address leads to.

    :param idempotent: True when its requests may run more than once.
    :param timeout_seconds: time after which clients give up, or 0 for none.
    :param target_latency_seconds: latency up to which a response is on time, or 0
        for none.
    :param priority: 0 is the highest.
    """

    name: str
    host: str
    port: int
    shares: tuple[ServiceShare, ...]
    idempotent: bool = False
    timeout_seconds: float = 0.0
    target_latency_seconds: float = 0.0
    priority: int = 0


class RoutingRecord(Struct, kw_only=True, frozen=True, array_like=True, tag="routing"):
    """All routes of one configuration.

    :param idle_timeout_seconds: a flow without packets for longer may be forgotten.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    idle_timeout_seconds: float


class UnusableRecord(
    Struct, kw_only=True, frozen=True, array_like=True, tag="unusable"
):
    """An entry that can't be understood; it names no host."""

    problem: str


Content = HostRecord | RoutingRecord | UnusableRecord


class DirectoryItem(Struct, kw_only=True, frozen=True, array_like=True):
    """One key as published.

    :param revision: its last change.
    :param content: None when the key was removed.
    """

    key: str
    revision: int
    content: Content | None


class HeldItem(Struct, kw_only=True, frozen=True):
    """One key as held.

    :param lapsed: the record that a removal took away, while it may come back.
    :param lapsed_until: monotonic time until which ``lapsed`` still counts.
    """

    item: DirectoryItem
    lapsed: HostRecord | None = None
    lapsed_until: float = 0.0


class DirectoryView(Struct, kw_only=True, frozen=True):
    """What is in force; replaced as a whole by each change.

    :param hosts: usable hosts by service, ordered by id.
    :param hosts_by_address: newest host at each address, by IPv4 address.
    :param routes: routes by address and port.
    """

    version: int = 0
    idle_timeout_seconds: float = 0.0
    hosts: Mapping[str, tuple[HostRecord, ...]] = field(default_factory=dict)
    hosts_by_address: Mapping[str, HostRecord] = field(default_factory=dict)
    routes: Mapping[tuple[str, int], RouteRecord] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """True once there is a configuration to route by."""
        return self.version > 0

    @property
    def has_replaced_host(self) -> bool:
        """True when the entry of a host still stands whose address has a newer one."""
        return any(
            self.hosts_by_address[host.address] is not host
            for hosts in self.hosts.values()
            for host in hosts
        )


class Directory:
    """Merges published items and derives the view in force.

    :ivar as_of: revision up to which every change is held.
    :ivar confirmed_at: monotonic time at which ``as_of`` was last known to be current.
    :ivar first_read_at: monotonic time of the first reading.
    :ivar history_start: lowest revision after which every change is held, removals
        included.
    """

    def __init__(self) -> None:
        self.items: dict[str, HeldItem] = {}
        self.view = DirectoryView()
        self.as_of = NO_REVISION
        self.history_start = NO_REVISION
        self.first_read_at: float | None = None
        self.confirmed_at = float("-inf")
        self.removals_may_lapse_until = float("-inf")

    def record_outage(self, *, now: float) -> None:
        """Note that the platform can't be read; removals may be lapses for a while."""
        self.removals_may_lapse_until = now + OUTAGE_MEMORY_SECONDS

    def apply(
        self,
        items: Iterable[DirectoryItem],
        *,
        as_of: int,
        now: float,
        age_seconds: float = 0.0,
    ) -> tuple[DirectoryItem, ...]:
        """Merge changes.

        :param as_of: revision up to which the items tell every change.
        :param age_seconds: how long ago the source's knowledge was current.
        :return: the items that were news.
        """
        news = tuple(item for item in items if self._accept(item, now=now))
        if as_of >= self.as_of:
            self.as_of = as_of
            self.confirmed_at = max(self.confirmed_at, now - age_seconds)
        if news:
            self.view = self._build_view(now=now)
        return news

    def replace(
        self,
        items: Iterable[DirectoryItem],
        *,
        as_of: int,
        now: float,
        age_seconds: float = 0.0,
    ) -> tuple[DirectoryItem, ...]:
        """Merge a whole reading; held keys that it lacks were removed.

        :param as_of: revision at which the reading began.
        """
        items = tuple(items)
        if self.first_read_at is None:
            self.history_start = as_of
            self.first_read_at = now
        present = {item.key for item in items}
        removed = (
            DirectoryItem(key=key, revision=as_of, content=None)
            for key, held in self.items.items()
            if key not in present and held.item.content is not None
            if held.item.revision <= as_of
        )
        return self.apply(
            (*items, *removed), as_of=as_of, now=now, age_seconds=age_seconds
        )

    def lists_every_host(self, *, now: float) -> bool:
        """Tell whether a live host that the view doesn't name can be ruled out.

        A process that has just begun may read the list while entries that lapsed are
        missing. An entry whose host has been replaced at its address, and that still
        stands, shows that none has lapsed lately.
        """
        if self.first_read_at is None or now < self.removals_may_lapse_until:
            return False
        if now - self.confirmed_at > LONGEST_CURRENT_SECONDS:
            return False
        return (
            self.view.has_replaced_host or now - self.first_read_at >= SETTLING_SECONDS
        )

    def changes_after(self, revision: int) -> tuple[DirectoryItem, ...]:
        """Return every item held that is newer than a revision."""
        return tuple(
            held.item for held in self.items.values() if held.item.revision > revision
        )

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Drop lapsed hosts that have not come back; returns their ids."""
        over = [
            key
            for key, held in self.items.items()
            if held.lapsed is not None and now >= held.lapsed_until
        ]
        gone = tuple(self.items[key].lapsed.id for key in over)
        for key in over:
            self.items[key] = HeldItem(item=self.items[key].item)
        if over:
            self.view = self._build_view(now=now)
        return gone

    def _accept(self, item: DirectoryItem, *, now: float) -> bool:
        held = self.items.get(item.key)
        if held is not None and item.revision <= held.item.revision:
            return False
        self.items[item.key] = self._hold(item, held=held, now=now)
        return True

    def _hold(
        self, item: DirectoryItem, *, held: HeldItem | None, now: float
    ) -> HeldItem:
        lapsed = None if held is None else held.item.content
        may_return = (
            item.content is None
            and isinstance(lapsed, HostRecord)
            and lapsed.state is HostState.READY
            and now < self.removals_may_lapse_until
        )
        if not may_return:
            return HeldItem(item=item)
        return HeldItem(
            item=item, lapsed=lapsed, lapsed_until=now + LAPSE_GRACE_SECONDS
        )

    def _build_view(self, *, now: float) -> DirectoryView:
        hosts: dict[str, list[HostRecord]] = {}
        hosts_by_address: dict[str, HostRecord] = {}
        routing: RoutingRecord | None = None
        for key in sorted(self.items):
            held = self.items[key]
            match held.lapsed or held.item.content:
                case HostRecord() as host:
                    hosts.setdefault(host.service, []).append(host)
                    _settle_resident(hosts_by_address, host)
                case RoutingRecord() as record:
                    routing = record
        view = DirectoryView(
            version=self.view.version,
            idle_timeout_seconds=self.view.idle_timeout_seconds,
            hosts={service: tuple(found) for service, found in hosts.items()},
            hosts_by_address=hosts_by_address,
            routes=self.view.routes,
        )
        if routing is None or routing.version <= view.version:
            return view
        return replace(
            view,
            version=routing.version,
            idle_timeout_seconds=routing.idle_timeout_seconds,
            routes={(route.host, route.port): route for route in routing.routes},
        )


def _settle_resident(hosts_by_address: dict[str, HostRecord], host: HostRecord) -> None:
    """Let the host that started last own its address."""
    known = hosts_by_address.get(host.address)
    if known is None or host.incarnation >= known.incarnation:
        hosts_by_address[host.address] = host
