"""State of the hosts as agents report it, and the hosts that get new flows."""

from __future__ import annotations

import math

from attrs import frozen

from daisygauge_control import ConfigurationView
from daisygauge_policy import (
    PeerLoadReports,
    PlacementTable,
    SlowStart,
    SuspectList,
    create_placement_table,
    select_eligible,
    slow_start_share,
)
from daisygauge_records import RendezvousPlacement, Service, Upstream
from daisygauge_wire import LoadReport

MAX_LOAD_REPORT_AGE_SECONDS = 2.0
MAX_SLOW_START_SECONDS = 600.0


@frozen(kw_only=True)
class EligibleHosts:
    """The hosts of a service that get new flows.

    :param shares: shares of the hosts in slow start, by host id.
    """

    hosts: tuple[Upstream, ...]
    shares: dict[str, float]


class HostTracker:
    """Tracks load reports, suspects and slow start of every service's hosts.

    :ivar loads: last reported backlog per slot, by host id.
    :ivar slow_starting: ids of the hosts that may be in slow start.
    """

    def __init__(self) -> None:
        self.load_reports = PeerLoadReports()
        self.suspects = SuspectList()
        self.slow_start = SlowStart()
        self.loads: dict[str, float] = {}
        self.slow_starting: set[str] = set()

    def apply_view(self, view: ConfigurationView, *, now: float) -> None:
        """Apply a new configuration; forget the hosts that it does not publish."""
        hosts = frozenset(
            upstream.id for group in view.upstreams.values() for upstream in group
        )
        self.load_reports.retain(hosts)
        self.suspects.retain(hosts)
        self.slow_start.observe_hosts(hosts, now=now)
        self.slow_starting = {
            host for host, since in self.slow_start.since.items() if since > -math.inf
        }
        self.loads = {host: load for host, load in self.loads.items() if host in hosts}

    def record_load_report(
        self, host: str, *, incarnation: int, report: LoadReport, now: float
    ) -> None:
        """Record the load report of a host's agent unless a newer one is known."""
        previous = self.load_reports.reports.get(host)
        if not self.load_reports.update(
            host, incarnation=incarnation, report=report, now=now
        ):
            return
        self.loads[host] = report.backlog
        if previous is not None and incarnation > previous.incarnation:
            self.slow_start.observe_restart(host, now=now)
            self.slow_starting.add(host)

    def select(
        self, service: Service, view: ConfigurationView, *, now: float
    ) -> EligibleHosts:
        """Return the hosts that get new flows of a service.

        :param now: Unix time in seconds.
        """
        published = view.upstreams.get(service.id, ())
        ids = tuple(upstream.id for upstream in published)
        leaving, not_ready = self.find_leaving_and_not_ready(ids, now=now)
        suspects = self.suspects.ejected(
            (host for host in ids if host not in leaving), now=now
        )
        eligible = select_eligible(
            published, instances=view.instances, suspects=suspects | leaving
        )
        # Hosts that are not ready are left out only while others are ready: their
        # agents refuse flows by themselves.
        ready = tuple(host for host in eligible if host.id not in not_ready)
        hosts = ready or eligible
        return EligibleHosts(
            hosts=hosts, shares=self.slow_start_shares(service, hosts, now=now)
        )

    def find_leaving_and_not_ready(
        self, hosts: tuple[str, ...], *, now: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the hosts that reported to be leaving, and those not ready.

        A report of leaving counts at any age, one of not being ready only up to an
        age of ``MAX_LOAD_REPORT_AGE_SECONDS``.
        """
        reports = {
            host: self.load_reports.reports[host]
            for host in hosts
            if host in self.load_reports.reports
        }
        fresh = {
            host: current.report
            for host, current in reports.items()
            if current.age_seconds(now=now) <= MAX_LOAD_REPORT_AGE_SECONDS
        }
        return (
            frozenset(
                host for host, current in reports.items() if current.report.leaving
            ),
            frozenset(host for host, report in fresh.items() if not report.ready),
        )

    def slow_start_shares(
        self, service: Service, hosts: tuple[Upstream, ...], *, now: float
    ) -> dict[str, float]:
        """Return the shares of the hosts that are in slow start, by host id."""
        if not isinstance(service.placement, RendezvousPlacement):
            return {}
        shares = {
            host.id: slow_start_share(
                age_seconds=now - self.slow_start.since.get(host.id, -math.inf),
                ramp_seconds=service.placement.ramp_seconds,
            )
            for host in hosts
        }
        return {host: share for host, share in shares.items() if share < 1.0}

    def find_time_dependent_hosts(self, *, now: float) -> frozenset[str]:
        """Return the hosts whose eligibility or share may change with time alone.

        :param now: Unix time in seconds.
        """
        self.slow_starting = {
            host
            for host in self.slow_starting
            if now - self.slow_start.since.get(host, -math.inf)
            <= MAX_SLOW_START_SECONDS
        }
        leaving_or_not_ready = (
            host
            for host, current in self.load_reports.reports.items()
            if current.report.leaving or not current.report.ready
        )
        return frozenset(
            (*self.suspects.suspicions, *self.slow_starting, *leaving_or_not_ready)
        )

    def create_table(self, service: Service, eligible: EligibleHosts) -> PlacementTable:
        """Build the placement table of a service."""
        return create_placement_table(
            service.placement,
            upstreams=eligible.hosts,
            shares=eligible.shares,
            loads=self.loads,
        )
