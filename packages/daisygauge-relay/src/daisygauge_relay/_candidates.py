"""The order in which a flow tries the agents of a service."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from socket import inet_aton

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from daisygauge_control import (
    DirectoryView,
    HostRecord,
    HostState,
    RouteRecord,
    ServiceShare,
)
from daisygauge_policy import rank
from daisygauge_wire import ROUTE_TAG_BITS

from ._packet import service_host, service_port

FLOW_BUCKETS = 1_024
"""Number of flow buckets. Flows of a bucket share one order, computed once per view."""


def service_tag(service: str) -> int:
    """Return the 32-bit hash that identifies a service in frames."""
    return xxh32_intdigest(service.encode())


def choose_service(route: RouteRecord, flow: bytes) -> str:
    """Return a new flow's service, by the hash of the flow and the shares' weights."""
    return choose_share(route.shares, flow)


def choose_share(shares: Sequence[ServiceShare], flow: bytes) -> str:
    """Return one of the shares' services, by the hash of a flow and the weights."""
    total = sum(share.weight for share in shares)
    point = (xxh3_64_intdigest(flow, seed=1) % 1_000_000) / 1_000_000 * total
    for share in shares:
        point -= share.weight
        if point < 0.0:
            return share.service
    return shares[-1].service


def choose_other_service(route: RouteRecord, flow: bytes, service: int) -> str | None:
    """Return the service to which a flow of a split route may overflow, or None.

    Both services need a share above 0 under this route.

    :param service: tag of the service that the flow was placed for.
    """
    shares = {share.service: share for share in route.shares if share.weight > 0.0}
    others = tuple(s for n, s in shares.items() if service_tag(n) != service)
    if not others or len(others) == len(shares):
        return None
    return choose_share(others, flow)


def route_tag(route: RouteRecord) -> int:
    """Return the hash that identifies the services of a route with a share above 0."""
    names = sorted({share.service for share in route.shares if share.weight > 0.0})
    return xxh32_intdigest("\0".join(names).encode()) >> (32 - ROUTE_TAG_BITS)


def find_route(view: DirectoryView, flow: bytes) -> RouteRecord | None:
    """Return the route to the address that a flow was opened to, or None."""
    return view.routes.get((service_host(flow), service_port(flow)))


class CandidateLists:
    """Candidate orders for one view; equal views give equal orders in every process.

    :ivar agents: packed addresses of every agent of a service, by service tag.
    :ivar ready: hosts that may get new flows, by service tag.
    :ivar ejected: packed addresses of agents that are tried last.
    :ivar service_tags: service tag of the newest host at each agent, by packed address.
    """

    def __init__(self) -> None:
        self.view = DirectoryView()
        self.ejected: frozenset[bytes] = frozenset()
        self.agents: dict[int, tuple[bytes, ...]] = {}
        self.service_tags: dict[bytes, int] = {}
        self.ready: dict[int, tuple[HostRecord, ...]] = {}
        self._orders: dict[tuple[int, int], tuple[bytes, ...]] = {}

    def update(self, view: DirectoryView) -> None:
        """Recompute the lists when the view has changed."""
        if view is self.view:
            return
        self.view = view
        self._orders.clear()
        self.agents = {
            service_tag(service): tuple(
                dict.fromkeys(inet_aton(host.address) for host in hosts)
            )
            for service, hosts in view.hosts.items()
        }
        self.service_tags = {
            inet_aton(address): service_tag(host.service)
            for address, host in view.hosts_by_address.items()
        }
        self.ready = {
            service_tag(service): _select_ready(hosts, view=view)
            for service, hosts in view.hosts.items()
        }

    def eject(self, agents: Iterable[bytes]) -> None:
        """Set the agents that are tried last."""
        ejected = frozenset(agents)
        if ejected != self.ejected:
            self.ejected = ejected
            self._orders.clear()

    def list_agents(self, service: int) -> tuple[bytes, ...]:
        """Return every agent of a service, with draining and evacuated ones."""
        return self.agents.get(service, ())

    def order(self, service: int, flow: bytes) -> tuple[bytes, ...]:
        """Return the agents of a service that may get a new flow, best first."""
        bucket = xxh3_64_intdigest(flow) % FLOW_BUCKETS
        key = (service, bucket)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = self._rank(service, bucket)
        return order

    def order_all(self, service: int, flow: bytes) -> tuple[bytes, ...]:
        """Return every agent of a service, those likeliest to hold a flow first."""
        likely = self.order(service, flow)
        return (*likely, *(a for a in self.list_agents(service) if a not in likely))

    def _rank(self, service: int, bucket: int) -> tuple[bytes, ...]:
        addresses = {
            host.id: inet_aton(host.address) for host in self.ready.get(service, ())
        }
        ranked = [addresses[id] for id in rank(addresses, seed=bucket)]
        ranked.sort(key=lambda agent: agent in self.ejected)
        return tuple(ranked)


def _select_ready(
    hosts: tuple[HostRecord, ...], *, view: DirectoryView
) -> tuple[HostRecord, ...]:
    """Return the ready hosts that may get new flows.

    They are the newest ones at their address, outside every evacuated failure domain.
    """
    return tuple(
        host
        for host in hosts
        if host.state is HostState.READY
        and view.hosts_by_address[host.address] is host
        and host.failure_domain not in view.evacuated
    )


def count_ready(view: DirectoryView) -> dict[str, int]:
    """Return the number of hosts that may get new flows, by service."""
    return {
        service: len(_select_ready(hosts, view=view))
        for service, hosts in view.hosts.items()
    }
