"""Agents of a service in the order in which a flow tries them."""

from __future__ import annotations

from collections.abc import Iterable
from socket import inet_aton

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from daisygauge_control import DirectoryView, HostRecord, HostState, RouteRecord
from daisygauge_policy import rank

from ._packet import service_host, service_port

BUCKETS = 1_024
"""Flows of a bucket share an order, which is worked out once for each view."""


def service_tag(service: str) -> int:
    """Return the number that names a service in frames."""
    return xxh32_intdigest(service.encode())


def choose_service(route: RouteRecord, flow: bytes) -> str:
    """Return the service of a new flow, by the weights of the route's shares."""
    total = sum(share.weight for share in route.shares)
    point = (xxh3_64_intdigest(flow, seed=1) % 1_000_000) / 1_000_000 * total
    for share in route.shares:
        point -= share.weight
        if point < 0.0:
            return share.service
    return route.shares[-1].service


def find_route(view: DirectoryView, flow: bytes) -> RouteRecord | None:
    """Return the route that a flow was opened to, if it is there."""
    return view.routes.get((service_host(flow), service_port(flow)))


class CandidateLists:
    """Orders by view; equal views give equal orders in every process.

    :ivar ejected: packed addresses of agents that are tried last.
    :ivar tags: the service of the newest host at each agent, by packed address.
    """

    def __init__(self) -> None:
        self.view = DirectoryView()
        self.ejected: frozenset[bytes] = frozenset()
        self.agents: dict[int, tuple[bytes, ...]] = {}
        self.tags: dict[bytes, int] = {}
        self.ready: dict[int, tuple[HostRecord, ...]] = {}
        self._orders: dict[tuple[int, int], tuple[bytes, ...]] = {}

    def update(self, view: DirectoryView) -> None:
        """Take a new view into use."""
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
        self.tags = {
            inet_aton(address): service_tag(host.service)
            for address, host in view.hosts_by_address.items()
        }
        self.ready = {
            service_tag(service): _select_ready(hosts, view=view)
            for service, hosts in view.hosts.items()
        }

    def eject(self, agents: Iterable[bytes]) -> None:
        """Change which agents are tried last."""
        ejected = frozenset(agents)
        if ejected != self.ejected:
            self.ejected = ejected
            self._orders.clear()

    def all_agents(self, service: int) -> tuple[bytes, ...]:
        """Return every agent of a service, leaving ones included."""
        return self.agents.get(service, ())

    def order(self, service: int, flow: bytes) -> tuple[bytes, ...]:
        """Return the agents of a service that may get a new flow."""
        bucket = xxh3_64_intdigest(flow) % BUCKETS
        key = (service, bucket)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = self._rank(service, bucket)
        return order

    def order_all(self, service: int, flow: bytes) -> tuple[bytes, ...]:
        """Return every agent of a service, the likeliest to hold a flow first."""
        likely = self.order(service, flow)
        return (*likely, *(a for a in self.all_agents(service) if a not in likely))

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
    """Return hosts that may get new flows and still own their address."""
    return tuple(
        host
        for host in hosts
        if host.state is HostState.READY and view.hosts_by_address[host.address] is host
    )
