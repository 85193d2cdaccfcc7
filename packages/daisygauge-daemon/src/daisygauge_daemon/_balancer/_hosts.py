"""What a balancer has heard from agents, and the hosts it offers new flows."""

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
LONGEST_RAMP_SECONDS = 600.0


@frozen(kw_only=True)
class EligibleHosts:
    """The hosts of a service that get new flows.

    :param shares: slow start shares of hosts that still ramp, by host id.
    """

    hosts: tuple[Upstream, ...]
    shares: dict[str, float]


class HostBook:
    """Knowledge about the hosts of every service.

    :param loads: last reported backlog for each slot, by host id.
    """

    def __init__(self) -> None:
        self.load_reports = PeerLoadReports()
        self.suspects = SuspectList()
        self.slow_start = SlowStart()
        self.loads: dict[str, float] = {}
        self.ramping: set[str] = set()

    def take_view(self, view: ConfigurationView, *, now: float) -> None:
        """Take in a new configuration; hosts not published are forgotten."""
        hosts = frozenset(
            upstream.id for group in view.upstreams.values() for upstream in group
        )
        self.load_reports.retain(hosts)
        self.suspects.retain(hosts)
        self.slow_start.observe_hosts(hosts, now=now)
        self.ramping = {
            host for host, since in self.slow_start.since.items() if since > -math.inf
        }
        self.loads = {host: load for host, load in self.loads.items() if host in hosts}

    def record_load_report(
        self, host: str, *, incarnation: int, report: LoadReport, now: float
    ) -> None:
        """Take in what an agent says about itself."""
        held = self.load_reports.reports.get(host)
        if not self.load_reports.update(
            host, incarnation=incarnation, report=report, now=now
        ):
            return
        self.loads[host] = report.backlog
        if held is not None and incarnation > held.incarnation:
            self.slow_start.observe_restart(host, now=now)
            self.ramping.add(host)

    def select(
        self, service: Service, view: ConfigurationView, *, now: float
    ) -> EligibleHosts:
        """Return the hosts that get new flows of a service.

        :param now: Unix time in seconds.
        """
        published = view.upstreams.get(service.id, ())
        ids = tuple(upstream.id for upstream in published)
        leaving, not_ready = self.hosts_unwilling(ids, now=now)
        suspects = self.suspects.ejected(
            (host for host in ids if host not in leaving), now=now
        )
        eligible = select_eligible(
            published, instances=view.instances, suspects=suspects | leaving
        )
        # Agents refuse flows by themselves, so hosts that are not ready are only
        # left out while others are.
        ready = tuple(host for host in eligible if host.id not in not_ready)
        hosts = ready or eligible
        return EligibleHosts(hosts=hosts, shares=self.ramp(service, hosts, now=now))

    def hosts_unwilling(
        self, hosts: tuple[str, ...], *, now: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return which hosts said lately that they leave, or are not ready."""
        said = {
            host: self.load_reports.reports[host]
            for host in hosts
            if host in self.load_reports.reports
        }
        fresh = {
            host: held.report
            for host, held in said.items()
            if held.age_seconds(now=now) <= MAX_LOAD_REPORT_AGE_SECONDS
        }
        return (
            frozenset(host for host, held in said.items() if held.report.leaving),
            frozenset(host for host, report in fresh.items() if not report.ready),
        )

    def ramp(
        self, service: Service, hosts: tuple[Upstream, ...], *, now: float
    ) -> dict[str, float]:
        """Return the slow start shares of a service's hosts."""
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

    def unsettled(self, *, now: float) -> frozenset[str]:
        """Return hosts whose eligibility or weight may change by itself.

        :param now: Unix time in seconds.
        """
        self.ramping = {
            host
            for host in self.ramping
            if now - self.slow_start.since.get(host, -math.inf) <= LONGEST_RAMP_SECONDS
        }
        said = (
            host
            for host, held in self.load_reports.reports.items()
            if held.report.leaving or not held.report.ready
        )
        return frozenset((*self.suspects.suspicions, *self.ramping, *said))

    def create_table(self, service: Service, eligible: EligibleHosts) -> PlacementTable:
        """Build the placement table of a service."""
        return create_placement_table(
            service.placement,
            upstreams=eligible.hosts,
            shares=eligible.shares,
            loads=self.loads,
        )
