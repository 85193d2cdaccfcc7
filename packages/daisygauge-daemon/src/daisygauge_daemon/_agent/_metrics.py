"""Metrics of the agent."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from .._metrics import NAMESPACE

SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class AgentMetrics:
    """Metrics of an agent.

    Packets of established flows are counted, but not logged.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        common = {"namespace": NAMESPACE, "subsystem": "agent", "registry": registry}
        self.received = Counter("packets_received", "Packets of callers.", **common)
        self.sent = Counter("packets_sent", "Packets to callers.", **common)
        self.dropped = Counter(
            "datagrams_dropped", "Refused inner datagrams.", ["reason"], **common
        )
        self.flights = Counter(
            "flights", "First flights by what became of them.", ["outcome"], **common
        )
        self.resets = Counter("stateless_resets", "Stateless resets sent.", **common)
        self.requests = Counter(
            "requests", "Requests by outcome.", ["request_class", "outcome"], **common
        )
        self.seconds = Histogram(
            "request_seconds",
            "Time from arrival to the end of the answer.",
            ["request_class"],
            buckets=SECONDS_BUCKETS,
            **common,
        )
        self.connections = Gauge("connections", "Open connections.", **common)
        self.running = Gauge("running", "Requests that occupy a slot.", **common)
        self.waiting = Gauge("waiting", "Requests waiting for a slot.", **common)
        self.streaming = Gauge("streaming", "Long answers under way.", **common)
        self.handed_off = Counter(
            "handed_off", "Requests given to peers, by outcome.", ["outcome"], **common
        )
        self.leaving = Gauge("leaving", "1 while the agent drains.", **common)
