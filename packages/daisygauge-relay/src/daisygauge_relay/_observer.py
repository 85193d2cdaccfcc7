"""Log lines and counters of directory updates."""

from __future__ import annotations

from daisygauge_control import (
    WATCH_SECONDS,
    Directory,
    DirectoryChanged,
    DirectoryEvent,
    DirectoryItem,
    EvacuationRecord,
    HostExpired,
    HostRecord,
    PlatformCalled,
    RoutingRecord,
    SourceLost,
    SourceRegained,
    UnusableRecord,
)

from . import _events as events
from ._counters import RelayCounters
from ._evacuations import Evacuations
from ._log import QueuedLog

MAX_LOGGED_CHANGES = 20
"""Most changes that one log line lists."""


class DirectoryObserver:
    """Logs and counts the events of the directory's follower."""

    def __init__(
        self,
        *,
        log: QueuedLog,
        counters: RelayCounters,
        directory: Directory,
        evacuations: Evacuations,
    ) -> None:
        self.log = log
        self.counters = counters
        self.directory = directory
        self.evacuations = evacuations

    def observe(self, event: DirectoryEvent) -> None:
        """Log or count one event."""
        match event:
            case PlatformCalled():
                # A long poll without changes lasts its whole wait by design.
                waited = 0.0 if event.changes else WATCH_SECONDS
                seconds = max(event.seconds - waited, 0.0)
                self.counters.platform_calls.observe(seconds)
            case DirectoryChanged():
                self.log_changes(event)
                self.evacuations.record(event.items)
            case HostExpired():
                self.log.write(events.HOST_EXPIRED, host=event.id)
            case SourceLost():
                self.log.write(
                    events.SOURCE_LOST,
                    source=event.source,
                    reason=event.reason,
                    retry_seconds=round(event.retry_seconds, 3),
                )
            case SourceRegained():
                self.log.write(
                    events.SOURCE_REGAINED, source=event.source, failures=event.failures
                )

    def log_changes(self, change: DirectoryChanged) -> None:
        """Log the changes that were merged into the directory."""
        self.log.write(
            events.DIRECTORY_CHANGED,
            source=change.source,
            as_of=change.as_of,
            source_age_seconds=round(change.age_seconds, 3),
            version=self.directory.view.version,
            changes=[describe_item(item) for item in change.items[:MAX_LOGGED_CHANGES]],
        )


def describe_item(item: DirectoryItem) -> str:
    """Return a short description of a change."""
    match item.content:
        case None:
            return f"{item.key}@{item.revision} removed"
        case HostRecord(service=service, address=address, state=state):
            return f"{item.key}@{item.revision} {service} {address} {state.value}"
        case RoutingRecord(version=version, routes=routes):
            return f"{item.key}@{item.revision} version {version}, {len(routes)} routes"
        case EvacuationRecord(failure_domain=domain):
            return f"{item.key}@{item.revision} evacuates {domain}"
        case UnusableRecord(problem=problem):
            return f"{item.key}@{item.revision} unusable: {problem}"
