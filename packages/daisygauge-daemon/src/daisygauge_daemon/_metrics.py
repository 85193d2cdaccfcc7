"""Metrics that every daemon has."""

from __future__ import annotations

from prometheus_client import (
    CollectorRegistry,
    Gauge,
    Info,
    PlatformCollector,
    ProcessCollector,
)

from ._readiness import Readiness

NAMESPACE = "daisygauge"


class RuntimeMetrics:
    """Metrics of the process itself.

    :param registry: registry of this daemon, one for each process.
    """

    def __init__(self, *, registry: CollectorRegistry, readiness: Readiness) -> None:
        ProcessCollector(registry=registry)
        PlatformCollector(registry=registry)
        self.daemon = Info(
            "daemon", "What this daemon is.", namespace=NAMESPACE, registry=registry
        )
        self.ready = Gauge(
            "ready",
            "1 while the daemon wants new traffic.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.ready.set_function(lambda: float(readiness.ready))
        self.configuration_version = Gauge(
            "configuration_version",
            "Version of the configuration in force, grows with each change.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.configuration_revision = Gauge(
            "configuration_revision",
            "Sum of the revisions of the records in force; it never decreases.",
            namespace=NAMESPACE,
            registry=registry,
        )
