"""Evacuations as this process learned them, for its log and metrics.

Which hosts an evacuation leaves out follows from the directory's view alone; nothing
here decides about a flow.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec import Struct

from daisygauge_control import Directory, DirectoryItem, EvacuationRecord

from . import _events as events
from ._candidates import count_ready
from ._counters import Histogram
from ._log import QueuedLog


class SeenEvacuation(Struct, kw_only=True, frozen=True):
    """An evacuation in force.

    :param seen_at: monotonic time at which this process learned it.
    """

    failure_domain: str
    seen_at: float


class Evacuations:
    """Logs the start and end of evacuations and measures how fast they spread.

    :param clock: monotonic time in seconds.
    :param arrivals: histogram of the time from an evacuation's arrival at this agent to
        each opening packet that other processes still sent to it.
    """

    def __init__(
        self,
        *,
        log: QueuedLog,
        directory: Directory,
        clock: Callable[[], float],
        arrivals: Histogram,
    ) -> None:
        self.log = log
        self.directory = directory
        self.clock = clock
        self.arrivals = arrivals
        self.seen: dict[str, SeenEvacuation] = {}

    def record(self, items: Iterable[DirectoryItem]) -> None:
        """Record the evacuations among changes that the directory has merged."""
        for item in items:
            match item.content:
                case EvacuationRecord(failure_domain=domain):
                    self.record_seen(item, domain)
                case _ if item.key in self.seen:
                    self.record_ended(item)

    def record_seen(self, item: DirectoryItem, failure_domain: str) -> None:
        """Record an evacuation; a repeated publication is no news."""
        if item.key in self.seen:
            return
        self.seen[item.key] = SeenEvacuation(
            failure_domain=failure_domain, seen_at=self.clock()
        )
        self.log.write(
            events.EVACUATION_SEEN,
            failure_domain=failure_domain,
            revision=item.revision,
            hosts=count_ready(self.directory.view),
        )

    def record_ended(self, item: DirectoryItem) -> None:
        """Record the end of an evacuation."""
        seen = self.seen.pop(item.key)
        self.log.write(
            events.EVACUATION_ENDED,
            failure_domain=seen.failure_domain,
            revision=item.revision,
            seconds=round(self.clock() - seen.seen_at, 3),
            hosts=count_ready(self.directory.view),
        )

    def record_arrival(self, failure_domain: str) -> None:
        """Record an opening packet that arrived for an evacuated failure domain."""
        for seen in self.seen.values():
            if seen.failure_domain == failure_domain:
                self.arrivals.observe(self.clock() - seen.seen_at)
                return
