"""Events and metrics of the configuration source."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge

from daisygauge_control import (
    ConfigurationChanged,
    ControlBudget,
    FellBackToPlatform,
    PeerLost,
    PlatformLost,
    PlatformRegained,
    RecordRefused,
    RevisionConflict,
    SourceEvent,
    WatcherChanged,
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
    text="A published record was refused; its last valid revision stays in force. "
    "Correct the named fields and publish it with a higher revision.",
    fields=("record", "problems"),
)
CONFLICT = Event(
    number=402,
    name="revision-conflict",
    level=Level.ERROR,
    text="Two contents of a record were published with the same revision; every daemon "
    "keeps the same one. Publish the intended content with a higher revision.",
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

PEER_LOST = Event(
    number=405,
    name="peer-lost",
    level=Level.WARNING,
    text="A peer that the daemon subscribed to does not answer; the daemon subscribes "
    "to another one.",
    fields=("peer", "reason"),
)
# A watcher reads the platform for its failure domain. The event, its field and the
# metric call this role a seat.
WATCHER_CHANGED = Event(
    number=406,
    name="seat-changed",
    level=Level.INFO,
    text="The daemon starts or stops watching the platform for its failure domain.",
    fields=("seat",),
)
FELL_BACK = Event(
    number=407,
    name="fell-back",
    level=Level.WARNING,
    text="The daemon could not subscribe to any peer, so it read the platform once. "
    "Check the balancers of this failure domain and the network to them.",
    fields=("silent_seconds",),
)

CONFIGURATION_EVENTS = (
    CHANGED,
    REFUSED,
    CONFLICT,
    PLATFORM_LOST,
    PLATFORM_REGAINED,
    PEER_LOST,
    WATCHER_CHANGED,
    FELL_BACK,
)


BUDGET_HELP = {
    "control_sent_bytes": "Bytes sent to other daemons for control since the start.",
    "control_received_bytes": "Bytes received from other daemons for control.",
    "control_waited_seconds": "Time for which the budget held control back.",
}


class ConfigurationObserver:
    """Logs and counts the events of the configuration source."""

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
        self.watcher = Gauge(
            "seat",
            "1 while the daemon watches the platform for its failure domain.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.fallbacks = Counter(
            "platform_fall_backs",
            "Reads of the platform because no daemon could be followed.",
            namespace=NAMESPACE,
            registry=registry,
        )
        self.platform_up = Gauge(
            "platform_up",
            "1 while the platform answers.",
            namespace=NAMESPACE,
            registry=registry,
        )

    def export_budget(
        self, budget: ControlBudget, *, registry: CollectorRegistry
    ) -> None:
        """Export the use of the control budget as metrics."""
        readings = {
            "control_sent_bytes": lambda: budget.sent_bytes,
            "control_received_bytes": lambda: budget.received_bytes,
            "control_waited_seconds": lambda: budget.waited_seconds,
        }
        for name, read in readings.items():
            gauge = Gauge(
                name, BUDGET_HELP[name], namespace=NAMESPACE, registry=registry
            )
            gauge.set_function(read)

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
            case PeerLost():
                self.log.write(PEER_LOST, peer=event.peer, reason=event.reason)
            case WatcherChanged():
                self.watcher.set(event.is_watcher)
                self.log.write(WATCHER_CHANGED, seat=event.is_watcher)
            case FellBackToPlatform():
                self.fallbacks.inc()
                self.log.write(FELL_BACK, silent_seconds=round(event.silent_seconds, 3))
            case PlatformRegained():
                self.platform_up.set(1)
                self.log.write(PLATFORM_REGAINED, failures=event.failures)
