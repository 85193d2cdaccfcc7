"""The gauges of an agent's metrics page."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ._counters import Gauge

if TYPE_CHECKING:
    from ._agent import RelayAgent


def make_gauges(agent: RelayAgent) -> tuple[Gauge, ...]:
    """Return the gauges of an agent."""
    return (
        Gauge(
            name="flows",
            text="Flows known.",
            read=lambda: len(agent.flows),
        ),
        Gauge(
            name="requests_running",
            text="Requests at the upstream.",
            read=lambda: len(agent.scheduler.running),
        ),
        Gauge(
            name="requests_waiting",
            text="Requests that wait for the upstream.",
            read=lambda: len(agent.scheduler.waiting),
        ),
        Gauge(
            name="service_seconds",
            text="Mean time of the upstream's latest answers.",
            read=lambda: agent.scheduler.service_seconds,
        ),
        Gauge(
            name="utilization",
            text="Expected share of slot time that the open flows use.",
            read=lambda: agent.utilization.estimate(now=agent.runtime.now()),
        ),
        Gauge(
            name="flows_open",
            text="Flows that count as open in the utilization.",
            read=lambda: len(agent.utilization.open_flows),
        ),
        Gauge(
            name="request_rate",
            text="Requests a second over the latest seconds.",
            read=lambda: agent.utilization.request_rate(now=agent.runtime.now()),
        ),
        Gauge(
            name="upstream_silent",
            text="1 while the upstream leaves opening packets unanswered.",
            read=lambda: float(agent.upstream.silent_since is not None),
        ),
        Gauge(
            name="upstream_ejected",
            text="1 while the upstream gets few new flows because it fails many "
            "requests.",
            read=lambda: float(
                agent.answers.outlier.is_ejected(now=agent.runtime.now())
            ),
        ),
        Gauge(
            name="pace_flows_per_second",
            text="Rate of new flows of a host that has started or recovered, or 0 "
            "while it isn't limited.",
            read=lambda: agent.paced_host.pace.rate or 0.0,
        ),
        Gauge(
            name="host_cold",
            text="1 while the upstream's host counts as cold.",
            read=lambda: float(agent.cold_host.is_cold(now=agent.runtime.now())),
        ),
    )
