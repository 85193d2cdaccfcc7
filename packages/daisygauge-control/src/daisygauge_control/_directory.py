"""Hosts, routes and evacuations known to one process, merged key by key.

The directory serves relayed flows. It is filled from the platform or from other
processes. Whatever the order in which changes arrive, each key keeps its highest
revision, so that the known state never goes back within the life of a process.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from msgspec import Struct, field
from msgspec.structs import replace

LAPSE_GRACE_SECONDS = 2.0
"""An entry lapses when it expires on the platform. Running hosts whose entries lapsed
during a platform outage are listed again within this time."""
OUTAGE_MEMORY_SECONDS = 8.0
"""A removal within this time after a platform outage may be a lapse."""
SETTLING_SECONDS = LAPSE_GRACE_SECONDS + 0.5
"""By this time after the first read, entries that had lapsed before it are in the view
again. The half second covers the propagation of a change."""
MAX_CURRENT_AGE_SECONDS = 2.0
"""A view confirmed within this time is current; sources confirm it every second."""
NO_REVISION = 0


class HostState(enum.Enum):
    """State that a host reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class HostRecord(Struct, kw_only=True, frozen=True, array_like=True, tag="host"):
    """One incarnation of an upstream, as it registers itself.

    :param address: IPv4 address, shared with the agent on the same host.
    :param port: port on which the upstream receives packets.
    :param slots: number of requests that it runs concurrently.
    :param slow_start_seconds: remaining time for which it is slow after its start.
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
    """A service of a route, with its relative weight."""

    service: str
    weight: float = 1.0


class RouteRecord(Struct, kw_only=True, frozen=True, array_like=True):
    """Services behind a service address.

    :param host: IPv4 address of the service address.
    :param port: port of the service address.
    :param idempotent: True if its requests may run more than once.
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


class ServiceRecord(Struct, kw_only=True, frozen=True, array_like=True):
    """The limits of one service's hosts while they are cold.

    :param slow_start_seconds: time for which a host is cold after its start.
    :param slow_start_rate: requests a second that a cold host can handle, or 0 for no
        limit.
    """

    name: str
    slow_start_seconds: float = 0.0
    slow_start_rate: float = 0.0


class RoutingRecord(Struct, kw_only=True, frozen=True, array_like=True, tag="routing"):
    """All routes of one configuration.

    :param idle_timeout_seconds: time without packets after which a flow may be
        forgotten.
    """

    version: int
    routes: tuple[RouteRecord, ...]
    idle_timeout_seconds: float
    services: tuple[ServiceRecord, ...] = ()


class UnusableRecord(
    Struct, kw_only=True, frozen=True, array_like=True, tag="unusable"
):
    """An entry that can't be parsed; it defines no host."""

    problem: str


class EvacuationRecord(
    Struct, kw_only=True, frozen=True, array_like=True, tag="evacuation"
):
    """A request that no new flow reach a host of a failure domain."""

    failure_domain: str


Content = HostRecord | RoutingRecord | UnusableRecord | EvacuationRecord


class DirectoryItem(Struct, kw_only=True, frozen=True, array_like=True):
    """One key as published.

    :param revision: revision of its last change.
    :param content: published content, or None if the key was removed.
    """

    key: str
    revision: int
    content: Content | None


class HeldItem(Struct, kw_only=True, frozen=True):
    """One key as held by the directory.

    :param lapsed: the removed record, for as long as it may come back.
    :param lapsed_until: monotonic time until which ``lapsed`` is still used.
    """

    item: DirectoryItem
    lapsed: HostRecord | None = None
    lapsed_until: float = 0.0


class DirectoryView(Struct, kw_only=True, frozen=True):
    """The hosts and routes in force; every change replaces the whole view.

    :param hosts: usable hosts by service, ordered by id.
    :param hosts_by_address: newest host at each address, by IPv4 address. A host of a
        service that isn't in ``named_services`` comes last.
    :param routes: routes by address and port.
    :param evacuated: failure domains whose hosts get no new flows.
    :param named_services: services that a configuration has named since the process
        started. An open flow may be at a host of a service that is named no longer.
    :param services: services by name, those that the configuration describes.
    """

    version: int = 0
    idle_timeout_seconds: float = 0.0
    hosts: Mapping[str, tuple[HostRecord, ...]] = field(default_factory=dict)
    hosts_by_address: Mapping[str, HostRecord] = field(default_factory=dict)
    routes: Mapping[tuple[str, int], RouteRecord] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    named_services: frozenset[str] = frozenset()
    services: Mapping[str, ServiceRecord] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """True once a configuration has been received."""
        return self.version > 0

    @property
    def has_replaced_host(self) -> bool:
        """True if a host is still listed although its address has a newer host.

        Entries of unnamed services show nothing: another program may have written them.
        """
        return any(
            self.hosts_by_address[host.address] is not host
            for service, hosts in self.hosts.items()
            if service in self.named_services
            for host in hosts
        )


class Directory:
    """Merges published items and derives the view in force.

    :ivar as_of: revision up to which every change is held.
    :ivar confirmed_at: monotonic time at which ``as_of`` was last known to be current.
    :ivar first_read_at: monotonic time of the first complete read, or None.
    :ivar history_start: lowest revision after which every change is held, removals
        included.
    :ivar lapses_expected_until: monotonic time until which a removal may be a lapse
        due to a platform outage.
    """

    def __init__(self) -> None:
        self.items: dict[str, HeldItem] = {}
        self.view = DirectoryView()
        self.as_of = NO_REVISION
        self.history_start = NO_REVISION
        self.first_read_at: float | None = None
        self.confirmed_at = float("-inf")
        self.lapses_expected_until = float("-inf")

    def record_outage(self, *, now: float) -> None:
        """Record that the platform is unavailable, or was until this call.

        Removals may be lapses for ``OUTAGE_MEMORY_SECONDS`` afterwards.

        :param now: monotonic time in seconds.
        """
        self.lapses_expected_until = now + OUTAGE_MEMORY_SECONDS

    def apply(
        self,
        items: Iterable[DirectoryItem],
        *,
        as_of: int,
        now: float,
        age_seconds: float = 0.0,
    ) -> tuple[DirectoryItem, ...]:
        """Merge changes.

        :param as_of: revision up to which the items include every change.
        :param now: monotonic time in seconds.
        :param age_seconds: age of the data of the source.
        :return: the items that changed the directory.
        """
        accepted = tuple(item for item in items if self._merge_item(item, now=now))
        if as_of >= self.as_of:
            self.as_of = as_of
            self.confirmed_at = max(self.confirmed_at, now - age_seconds)
        if accepted:
            self.view = self._build_view(now=now)
        return accepted

    def replace(
        self,
        items: Iterable[DirectoryItem],
        *,
        as_of: int,
        now: float,
        age_seconds: float = 0.0,
    ) -> tuple[DirectoryItem, ...]:
        """Merge a complete read; held keys that it lacks count as removed.

        :param as_of: revision at which the read began.
        :param now: monotonic time in seconds.
        :param age_seconds: age of the data of the source.
        :return: the items that changed the directory.
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
        """Return whether every live host is certain to be in the view.

        A process that has just started may read the list while lapsed entries are
        missing. If the entry of a host is still listed although the host was replaced
        at its address, no entry has lapsed recently.

        :param now: monotonic time in seconds.
        """
        if self.first_read_at is None or now < self.lapses_expected_until:
            return False
        if now - self.confirmed_at > MAX_CURRENT_AGE_SECONDS:
            return False
        return (
            self.view.has_replaced_host or now - self.first_read_at >= SETTLING_SECONDS
        )

    def changes_after(self, revision: int) -> tuple[DirectoryItem, ...]:
        """Return all held items that are newer than a revision."""
        return tuple(
            held.item for held in self.items.values() if held.item.revision > revision
        )

    def expire(self, *, now: float) -> tuple[str, ...]:
        """Drop lapsed hosts that did not come back in time, and return their ids."""
        expired = [
            key
            for key, held in self.items.items()
            if held.lapsed is not None and now >= held.lapsed_until
        ]
        ids = tuple(self.items[key].lapsed.id for key in expired)
        for key in expired:
            self.items[key] = HeldItem(item=self.items[key].item)
        if expired:
            self.view = self._build_view(now=now)
        return ids

    def _merge_item(self, item: DirectoryItem, *, now: float) -> bool:
        held = self.items.get(item.key)
        if held is not None and item.revision <= held.item.revision:
            return False
        self.items[item.key] = self._hold(item, held=held, now=now)
        return True

    def _hold(
        self, item: DirectoryItem, *, held: HeldItem | None, now: float
    ) -> HeldItem:
        lapsed = None if held is None else held.item.content
        may_come_back = (
            item.content is None
            and isinstance(lapsed, HostRecord)
            and lapsed.state is HostState.READY
            and now < self.lapses_expected_until
        )
        if not may_come_back:
            return HeldItem(item=item)
        return HeldItem(
            item=item, lapsed=lapsed, lapsed_until=now + LAPSE_GRACE_SECONDS
        )

    def _build_view(self, *, now: float) -> DirectoryView:
        hosts: dict[str, list[HostRecord]] = {}
        routing: RoutingRecord | None = None
        evacuated: set[str] = set()
        for key in sorted(self.items):
            held = self.items[key]
            match held.lapsed or held.item.content:
                case HostRecord() as host:
                    hosts.setdefault(host.service, []).append(host)
                case RoutingRecord() as record:
                    routing = record
                case EvacuationRecord(failure_domain=domain):
                    evacuated.add(domain)
        view = DirectoryView(
            version=self.view.version,
            idle_timeout_seconds=self.view.idle_timeout_seconds,
            hosts={service: tuple(found) for service, found in hosts.items()},
            routes=self.view.routes,
            services=self.view.services,
            evacuated=frozenset(evacuated),
            named_services=self.view.named_services,
        )
        if routing is not None and routing.version > view.version:
            view = replace(
                view,
                version=routing.version,
                idle_timeout_seconds=routing.idle_timeout_seconds,
                routes={(route.host, route.port): route for route in routing.routes},
                services={service.name: service for service in routing.services},
                named_services=view.named_services | _list_services(routing),
            )
        return replace(view, hosts_by_address=_select_by_address(view))


def _list_services(routing: RoutingRecord) -> frozenset[str]:
    return frozenset(
        share.service for route in routing.routes for share in route.shares
    )


def _select_by_address(view: DirectoryView) -> dict[str, HostRecord]:
    """Return the most recently started host of each address.

    An entry of an unnamed service may come from another program and must not displace
    a live host.
    """
    hosts = [host for listed in view.hosts.values() for host in listed]
    hosts.sort(key=lambda h: (h.service in view.named_services, h.incarnation, h.id))
    return {host.address: host for host in hosts}
