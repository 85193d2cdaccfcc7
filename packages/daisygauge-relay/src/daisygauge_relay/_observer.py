"""Log lines and counts of what keeps a process's directory current."""

from __future__ import annotations

from daisygauge_control import (
    WATCH_SECONDS,
    Directory,
    DirectoryChanged,
    DirectoryEvent,
    DirectoryItem,
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
from ._log import QueuedLog

LONGEST_CHANGES = 20
"""Changes named in one line of the log."""


class DirectoryObserver:
    """Writes down what the follower of the directory reports."""

    def __init__(
        self, *, log: QueuedLog, counters: RelayCounters, directory: Directory
    ) -> None:
        self.log = log
        self.counters = counters
        self.directory = directory

    def observe(self, event: DirectoryEvent) -> None:
        """Log what the follower of the directory reports."""
        match event:
            case PlatformCalled():
                # A wait that ended without news took its whole time by intent.
                waited = 0.0 if event.changes else WATCH_SECONDS
                seconds = max(event.seconds - waited, 0.0)
                self.counters.platform_calls.observe(seconds)
            case DirectoryChanged():
                self.log_changes(event)
            case HostExpired():
                self.log.write(events.HOST_GONE, host=event.id)
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

    def log_changes(self, moved: DirectoryChanged) -> None:
        """Log merged changes."""
        self.log.write(
            events.DIRECTORY_MOVED,
            source=moved.source,
            as_of=moved.as_of,
            source_age_seconds=round(moved.age_seconds, 3),
            version=self.directory.view.version,
            changes=[describe_item(item) for item in moved.items[:LONGEST_CHANGES]],
        )


def describe_item(item: DirectoryItem) -> str:
    """Return a change as a few words."""
    match item.content:
        case None:
            return f"{item.key}@{item.revision} removed"
        case HostRecord(service=service, address=address, state=state):
            return f"{item.key}@{item.revision} {service} {address} {state.value}"
        case RoutingRecord(version=version, routes=routes):
            return f"{item.key}@{item.revision} version {version}, {len(routes)} routes"
        case UnusableRecord(problem=problem):
            return f"{item.key}@{item.revision} unusable: {problem}"
