"""The metrics page in Prometheus format.

The client library is loaded by the first request for the page, and in a thread, since
loading it takes longer than a packet may wait.
"""

from __future__ import annotations

import asyncio
import importlib
from collections.abc import Iterator
from typing import Any

from ._counters import Gauge, Histogram
from ._pages import Page
from ._runtime import RelayRuntime

LIBRARY = "prometheus_client"
PREFIX = "daisygauge_relay"
LOADING = Page(status=503, body=b"the metrics library is being loaded; ask again\n")


class MetricsPage:
    """Answers requests for the metrics page.

    :param gauges: gauges of the role, shown after the common ones.
    """

    def __init__(self, *, runtime: RelayRuntime, gauges: tuple[Gauge, ...]) -> None:
        self.runtime = runtime
        self.gauges = gauges
        self.registry: Any = None
        self.loading: asyncio.Task[None] | None = None

    def answer(self) -> Page:
        """Return the page, or status 503 while the library is being loaded."""
        if self.registry is None:
            if self.loading is None:
                self.loading = asyncio.create_task(self.load(), name="metrics")
            return LOADING
        prometheus = importlib.import_module(LIBRARY)
        return Page(
            status=200,
            body=prometheus.generate_latest(self.registry),
            content_type=prometheus.CONTENT_TYPE_LATEST,
        )

    async def load(self) -> None:
        """Load the library and register this collector."""
        prometheus = await asyncio.to_thread(importlib.import_module, LIBRARY)
        registry = prometheus.CollectorRegistry()
        registry.register(self)
        self.registry = registry

    def collect(self) -> Iterator[Any]:
        """Yield every metric; the library calls this for each page."""
        core = importlib.import_module(f"{LIBRARY}.core")
        counters = self.runtime.counters
        for name, text, value in (
            ("packets_in", "Packets of clients.", counters.packets_in),
            ("packets_out", "Packets of upstreams.", counters.packets_out),
            ("flows_placed", "Opening packets sent to an agent.", counters.placed),
            ("flows_searched", "Packets of flows searched.", counters.searched),
            ("agents_queried", "Agents asked for a searched flow.", counters.queried),
            ("openings_taken", "Opening packets given upstream.", counters.taken),
            ("openings_passed", "Opening packets passed on.", counters.passed),
            (
                "openings_overflowed",
                "Opening packets taken for another service of their route.",
                counters.overflowed,
            ),
            (
                "openings_paced",
                "Opening packets for which the host counted as busier by its pace.",
                counters.paced,
            ),
            (
                "flows_reset_early",
                "Idle flows of an earlier incarnation that were reset.",
                counters.flows_reset_early,
            ),
            ("strays", "Packets given back to balancers.", counters.unknown_flows),
            ("requests", "Requests seen.", counters.requests),
            ("platform_calls", "Calls to the platform.", self.platform_calls()),
            ("log_lines_dropped", "Log lines dropped.", self.runtime.log.total_dropped),
        ):
            metric = core.CounterMetricFamily(f"{PREFIX}_{name}", text)
            metric.add_metric([], value)
            yield metric
        for name, text, label, counts in (
            ("dropped", "Datagrams that went nowhere.", "reason", counters.dropped),
            ("refused", "Flows refused.", "reason", counters.refused),
            (
                "openings_passed_by_reason",
                "Opening packets passed on, by reason.",
                "reason",
                counters.passed_by_reason,
            ),
            (
                "flows_lost",
                "Flows reset since no upstream holds them.",
                "reason",
                counters.lost,
            ),
            (
                "answers_failed",
                "Requests that the upstream failed.",
                "reason",
                counters.failed,
            ),
            ("task_failures", "Errors of tasks.", "task", counters.failures),
        ):
            metric = core.CounterMetricFamily(f"{PREFIX}_{name}", text, labels=[label])
            for reason, count in counts.items():
                metric.add_metric([reason], count)
            yield metric
        yield self.make_histogram(
            core, "answer_seconds", "Time from request to answer.", counters.answers
        )
        yield self.make_histogram(
            core,
            "platform_call_seconds",
            "Time of calls to the platform beyond the wait asked for.",
            counters.platform_calls,
        )
        yield self.make_histogram(
            core,
            "evacuated_opening_seconds",
            "Time from an evacuation seen to opening packets passed on because of it.",
            counters.evacuated_openings,
        )
        for gauge in self.all_gauges():
            metric = core.GaugeMetricFamily(f"{PREFIX}_{gauge.name}", gauge.text)
            metric.add_metric([], gauge.read())
            yield metric

    def platform_calls(self) -> int:
        """Return the number of calls to the platform."""
        return self.runtime.follower.reader.calls

    def make_histogram(
        self, core: Any, name: str, text: str, histogram: Histogram
    ) -> Any:
        """Return a histogram as a metric of the library."""
        metric = core.HistogramMetricFamily(f"{PREFIX}_{name}", text)
        below = 0
        buckets = []
        for bound, count in zip(
            (*histogram.bounds, "+Inf"), histogram.counts, strict=True
        ):
            below += count
            buckets.append((str(bound), below))
        metric.add_metric([], buckets=buckets, sum_value=histogram.total_seconds)
        return metric

    def all_gauges(self) -> tuple[Gauge, ...]:
        """Return the gauges that all roles share, then those of this role."""
        directory = self.runtime.directory
        return (
            Gauge(
                name="configuration_version",
                text="Version of the configuration in force.",
                read=lambda: directory.view.version,
            ),
            Gauge(
                name="knowledge_age_seconds",
                text="Time since hosts and routes were known to be current.",
                read=lambda: min(self.runtime.now() - directory.confirmed_at, 1e9),
            ),
            Gauge(
                name="ready",
                text="1 while this process wants traffic.",
                read=lambda: float(self.runtime.is_ready),
            ),
            Gauge(
                name="failure_domains_evacuated",
                text="Failure domains whose hosts get no new flows.",
                read=lambda: len(directory.view.evacuated),
            ),
            *self.gauges,
        )
