"""Logs and counts what happens to the configuration."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge

from daisygauge_control import (
    ConfigurationChanged,
    PlatformLost,
    PlatformRegained,
    RecordRefused,
    RevisionConflict,
    SourceEvent,
)

from ._events import Event, EventLog, Level
from ._metrics import NAMESPACE

CHANGED = Event(
    number=400,
    name="configuration-changed",
    level=Level.INFO,
    text="A new configuration is in force.",
    fields=("version", "services", "upstreams", "instances"),
)
REFUSED = Event(
    number=401,
    name="record-refused",
    level=Level.ERROR,
    text="A published record was refused; the last good one stays in force. "
    "Correct the fields named and publish it with a higher revision.",
    fields=("record", "problems"),
)
CONFLICT = Event(
    number=402,
    name="revision-conflict",
    level=Level.ERROR,
    text="Two contents of a record were published with one revision; every "
    "daemon keeps the same one. Publish the wanted content with a higher revision.",
    fields=("record", "revision", "kept", "dropped"),
)
PLATFORM_LOST = Event(
    number=403,
    name="platform-lost",
    level=Level.WARNING,
    text="The platform can't be read; the last configuration stays in force. "
    "Check the platform.",
    fields=("address", "reason", "retry_seconds"),
)
PLATFORM_REGAINED = Event(
    number=404,
    name="platform-regained",
    level=Level.INFO,
    text="The platform answers again.",
    fields=("failures",),
)

CONFIGURATION_EVENTS = (CHANGED, REFUSED, CONFLICT, PLATFORM_LOST, PLATFORM_REGAINED)


class ConfigurationObserver:
    """Is told by the configuration source what happens."""

    def __init__(self, *, log: EventLog, registry: CollectorRegistry) -> None:
        self.log = log
        self.refused = Counter(
            "refused_records",
            "Published records that were refused.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.conflicts = Counter(
            "revision_conflicts",
            "Revisions published with two contents.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.platform_up = Gauge(
            "platform_up",
            "1 while the platform answers.",
            namespace=NAMESPACE,
            registry=registry,
        )

    def __call__(self, event: SourceEvent) -> None:
        """Log and count one event."""
        match event:
            case ConfigurationChanged():
                self.platform_up.set(1)
                self.log.write(
                    CHANGED,
                    version=event.version,
                    services=event.services,
                    upstreams=event.upstreams,
                    instances=event.instances,
                )
            case RecordRefused():
                self.refused.inc()
                self.log.write(
                    REFUSED,
                    record=event.name,
                    problems=[str(problem) for problem in event.problems],
                )
            case RevisionConflict():
                self.conflicts.inc()
                self.log.write(
                    CONFLICT,
                    record=event.name,
                    revision=event.revision,
                    kept=event.kept,
                    dropped=event.dropped,
                )
            case PlatformLost():
                self.platform_up.set(0)
                self.log.write(
                    PLATFORM_LOST,
                    address=event.address,
                    reason=event.reason,
                    retry_seconds=round(event.retry_seconds, 3),
                )
            case PlatformRegained():
                self.platform_up.set(1)
                self.log.write(PLATFORM_REGAINED, failures=event.failures)
