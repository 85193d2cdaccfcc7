"""Checks of a platform's configuration: what can't match, contradicts or changes.

The adapter of the platform translates the configuration into our records and gives its
names for their fields.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator

from daisygauge_control import RouteRecord, RoutingRecord, ServiceRecord
from daisygauge_platform import ReadConfiguration
from daisygauge_records import Problem

MAX_PORT = 65_535


class RoutingCheck:
    """Checks one configuration that the processes accept.

    :param hosted: services that have a host, or None if that isn't known.
    """

    def __init__(
        self, configuration: ReadConfiguration, *, hosted: frozenset[str] | None = None
    ) -> None:
        self.routing = configuration.routing
        self.services = configuration.services
        self.names = configuration.field_names
        self.hosted = hosted

    def find_errors(self) -> list[Problem]:
        """Return why the configuration can't take effect."""
        if self.routing.version > 0:
            return []
        return [
            Problem(
                path=self.names["version"],
                message="version 0 never takes effect",
                remedy="count up from 1 with every change",
            )
        ]

    def find_warnings(self) -> list[Problem]:
        """Return the parts that have no effect or contradict each other."""
        found = list(self.check_no_routes())
        for index, route in enumerate(self.routing.routes):
            path = f"{self.names['routes']}[{index}]"
            found += self.check_address(route, path)
            found += self.check_shares(route, path)
            found += self.check_times(route, path)
        found += self.check_idle_limit()
        found += self.check_shadowed()
        found += self.check_services()
        return found

    def check_no_routes(self) -> Iterator[Problem]:
        """Yield a problem with a configuration without routes."""
        if not self.routing.routes:
            yield Problem(
                path=self.names["routes"],
                message="there is no route, so that every new flow is refused",
                remedy="add a route",
            )

    def check_address(self, route: RouteRecord, path: str) -> Iterator[Problem]:
        """Yield the problems with an address that no flow can be opened to."""
        if not _is_ipv4(route.host):
            yield Problem(
                path=f"{path}.{self.names['host']}",
                message=f"{_quote(route.host)} isn't an IPv4 address, so that the "
                "route matches no flow",
                remedy="write an IPv4 address such as 198.18.0.1",
            )
        if not 1 <= route.port <= MAX_PORT:
            yield Problem(
                path=f"{path}.{self.names['port']}",
                message=f"port {route.port} doesn't exist, so that the route matches "
                "no flow",
                remedy=f"write a port from 1 to {MAX_PORT}",
            )

    def check_shares(self, route: RouteRecord, path: str) -> Iterator[Problem]:
        """Yield the problems with the services of a route."""
        if not any(share.weight > 0.0 for share in route.shares):
            yield Problem(
                path=f"{path}.{self.names['shares']}",
                message="every weight is 0; all new flows go to "
                f"{_quote(route.shares[-1].service)}",
                remedy="give a weight above 0 to each service that should get flows",
            )
        if self.hosted is None:
            return
        for name in dict.fromkeys(_list_chosen(route)):
            if name not in self.hosted:
                yield Problem(
                    path=path,
                    message=f"service {_quote(name)} has no host; its new flows are "
                    "refused",
                    remedy="start its hosts first, or correct the name",
                )

    def check_times(self, route: RouteRecord, path: str) -> Iterator[Problem]:
        """Yield the contradictions between the times of a route."""
        timeout = route.timeout_seconds
        if 0.0 < timeout < route.target_latency_seconds:
            yield Problem(
                path=f"{path}.{self.names['target_latency_seconds']}",
                message=f"the target of {_seconds(route.target_latency_seconds)} is "
                f"above the timeout of {_seconds(timeout)}; clients give up before it",
                remedy="lower the target, or raise "
                f"{self.names['timeout_seconds']} above it",
            )

    def check_idle_limit(self) -> Iterator[Problem]:
        """Yield a problem with an idle limit that is below a route's timeout."""
        idle = self.routing.idle_timeout_seconds
        timeouts = [route.timeout_seconds for route in self.routing.routes]
        longest = max(timeouts, default=0.0)
        if 0.0 < idle < longest:
            path = f"{self.names['routes']}[{timeouts.index(longest)}]"
            yield Problem(
                path=self.names["idle_timeout_seconds"],
                message=f"{_seconds(idle)} is below the timeout of "
                f"{_seconds(longest)} at {path}; a flow may be forgotten while it "
                "waits for an answer",
                remedy=f"raise it to at least {_seconds(longest)}",
            )

    def check_shadowed(self) -> Iterator[Problem]:
        """Yield the routes whose address a later route has, too."""
        last = {(r.host, r.port): n for n, r in enumerate(self.routing.routes)}
        for index, route in enumerate(self.routing.routes):
            winner = last[route.host, route.port]
            if winner != index:
                yield Problem(
                    path=f"{self.names['routes']}[{index}]",
                    message=f"{_label(route)} never matches: "
                    f"{self.names['routes']}[{winner}] has the same address and counts",
                    remedy="remove one of the two, or correct an address",
                )

    def check_services(self) -> Iterator[Problem]:
        """Yield the problems with the limits of services."""
        named = {s.service for route in self.routing.routes for s in route.shares}
        seen: set[str] = set()
        for index, limits in enumerate(self.services):
            path = f"{self.names['services']}[{index}]"
            if limits.name in seen:
                yield Problem(
                    path=path,
                    message=f"service {_quote(limits.name)} is listed twice",
                    remedy="remove one of the two",
                )
            seen.add(limits.name)
            if limits.name not in named:
                yield Problem(
                    path=path,
                    message=f"no route names service {_quote(limits.name)}",
                    remedy="correct the name, or remove the entry",
                )
            if limits.slow_start_rate > 0.0 and not limits.slow_start_seconds:
                yield Problem(
                    path=f"{path}.{self.names['slow_start_rate']}",
                    message="a rate for cold hosts has no effect without a cold time",
                    remedy=f"set {self.names['slow_start_seconds']} above 0, or remove "
                    "the rate",
                )


def find_outdated(
    new: ReadConfiguration, *, current: ReadConfiguration
) -> list[Problem]:
    """Return why a configuration doesn't replace the one that is in force."""
    if new.routing.version > current.routing.version or new == current:
        return []
    return [
        Problem(
            path=new.field_names["version"],
            message=f"version {new.routing.version} does not take effect over "
            f"{current.routing.version}",
            remedy=f"publish version {current.routing.version + 1}",
        )
    ]


def describe_changes(
    new: ReadConfiguration, *, current: ReadConfiguration
) -> list[str]:
    """Return what changes for callers and hosts, a sentence for each change."""
    lines = []
    if new.routing.version != current.routing.version:
        lines.append(f"version {current.routing.version} becomes {new.routing.version}")
    lines += _describe_routes(new.routing, current.routing)
    old_idle = current.routing.idle_timeout_seconds
    new_idle = new.routing.idle_timeout_seconds
    if new_idle != old_idle:
        lines.append(
            f"idle flows are forgotten {_after(new_idle)}, until now {_after(old_idle)}"
        )
    lines += _describe_services(new.services, current.services)
    return lines or ["nothing changes"]


def _describe_routes(new: RoutingRecord, old: RoutingRecord) -> Iterator[str]:
    old_routes = {(r.host, r.port): r for r in old.routes}
    new_routes = {(r.host, r.port): r for r in new.routes}
    for address, route in old_routes.items():
        if address not in new_routes:
            yield (
                f"{_label(route)} is removed: new flows are refused, open flows stay"
            )
    for address, route in new_routes.items():
        known = old_routes.get(address)
        if known is None:
            yield f"{_label(route)} is added: new flows go to {_describe_shares(route)}"
        else:
            yield from _describe_route(route, known)


def _describe_route(new: RouteRecord, old: RouteRecord) -> Iterator[str]:
    label = _label(new)
    if new.name != old.name:
        yield f"{label} was named {_quote(old.name)}"
    if _describe_shares(new) != _describe_shares(old):
        yield (
            f"{label}: new flows go to {_describe_shares(new)}, until now to "
            f"{_describe_shares(old)}; open flows stay where they are"
        )
    if new.idempotent != old.idempotent:
        may = "may" if new.idempotent else "may no longer"
        yield f"{label}: its requests {may} be run more than once"
    if new.timeout_seconds != old.timeout_seconds:
        yield (
            f"{label}: clients give up {_after(new.timeout_seconds)}, until now "
            f"{_after(old.timeout_seconds)}"
        )
    if new.target_latency_seconds != old.target_latency_seconds:
        yield (
            f"{label}: answers are late {_after(new.target_latency_seconds)}, "
            f"until now {_after(old.target_latency_seconds)}"
        )
    if new.priority != old.priority:
        change = "more" if new.priority < old.priority else "less"
        yield (
            f"{label}: it is {change} important, with priority {new.priority} instead "
            f"of {old.priority} (0 is the highest)"
        )


def _describe_services(
    new: tuple[ServiceRecord, ...], old: tuple[ServiceRecord, ...]
) -> Iterator[str]:
    old_limits = {limits.name: limits for limits in old}
    new_limits = {limits.name: limits for limits in new}
    for name in dict.fromkeys((*old_limits, *new_limits)):
        before = _describe_limits(old_limits.get(name))
        after = _describe_limits(new_limits.get(name))
        if before != after:
            yield f"service {_quote(name)}: {after}, until now {before}"


def _describe_limits(limits: ServiceRecord | None) -> str:
    if limits is None or not limits.slow_start_seconds:
        return "hosts have no limit after their start"
    if not limits.slow_start_rate:
        return (
            f"hosts are cold for {_seconds(limits.slow_start_seconds)} after their "
            "start, without a limit"
        )
    return (
        f"hosts get {limits.slow_start_rate:g} requests a second for "
        f"{_seconds(limits.slow_start_seconds)} after their start"
    )


def _list_chosen(route: RouteRecord) -> list[str]:
    """Return the services of a route that get new flows."""
    chosen = [share.service for share in route.shares if share.weight > 0.0]
    return chosen or [route.shares[-1].service]


def _describe_shares(route: RouteRecord) -> str:
    chosen = _list_chosen(route)
    if len(set(chosen)) == 1:
        return _quote(chosen[0])
    weights: dict[str, float] = {}
    for share in route.shares:
        if share.weight > 0.0:
            weights[share.service] = weights.get(share.service, 0.0) + share.weight
    total = sum(weights.values())
    return ", ".join(
        f"{_quote(name)} ({100.0 * weight / total:.4g}%)"
        for name, weight in weights.items()
    )


def _label(route: RouteRecord) -> str:
    return f"route {_quote(route.name)} ({ascii(route.host)[1:-1]}:{route.port})"


def _quote(name: str) -> str:
    """Return a name in quotes, without characters that a terminal can't print."""
    return ascii(name)


def _seconds(seconds: float) -> str:
    return f"{seconds:g} s"


def _after(seconds: float) -> str:
    """Return when a limit applies; 0 means that there is none."""
    return f"after {_seconds(seconds)}" if seconds else "never"


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
