"""Counters and histograms of a process."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

DURATION_BOUNDS_SECONDS = (
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 5.0,
)  # fmt: skip
"""Upper bounds of a histogram's buckets, closest in the range of target latencies."""


class Histogram(Struct, kw_only=True):
    """Histogram of durations.

    :param bounds: upper bounds of the buckets in seconds.
    :param counts: durations in each bucket; the last one counts those above all bounds.
    :param total_seconds: sum of the durations.
    """

    bounds: tuple[float, ...] = DURATION_BOUNDS_SECONDS
    counts: list[int] = field(default_factory=list)
    total_seconds: float = 0.0

    def __post_init__(self) -> None:
        if not self.counts:
            self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, seconds: float) -> None:
        """Add one duration."""
        self.counts[bisect_left(self.bounds, seconds)] += 1
        self.total_seconds += seconds


class Gauge(Struct, kw_only=True, frozen=True):
    """A metric of type gauge, read when the metrics page is requested.

    :param text: help text of the metric.
    """

    name: str
    text: str
    read: Callable[[], float]


class RelayCounters(Struct, kw_only=True):
    """Counters of one process; plain integers, since every packet increments some.

    :ivar placed: opening packets that a balancer sent to an agent.
    :ivar searched: packets for which a balancer asked an agent to search for the owner.
    :ivar queried: queries that a searching agent sent to other agents.
    :ivar taken: opening packets that an agent delivered to its upstream.
    :ivar passed: opening packets that an agent passed on to another agent.
    :ivar passed_by_reason: the same, by reason.
    :ivar paced: opening packets for which a host counted as busier because of its pace.
    :ivar flows_reset_early: idle flows of an earlier incarnation that were found before
        their clients used them.
    :ivar overflowed: opening packets that an agent took for another service of their
        route.
    :ivar failed: requests that the upstream failed, by reason.
    :ivar failures: unexpected errors of tasks, by the task's name.
    :ivar answers: time from a request's first packet to its answer's first packet.
    :ivar evacuated_openings: time from an evacuation's arrival at an agent of its
        failure domain to each opening packet that still came; none was taken.
    :ivar platform_calls: time of calls to the platform beyond the requested wait.
    """

    packets_in: int = 0
    packets_out: int = 0
    placed: int = 0
    searched: int = 0
    queried: int = 0
    taken: int = 0
    passed: int = 0
    overflowed: int = 0
    paced: int = 0
    flows_reset_early: int = 0
    unknown_flows: int = 0
    requests: int = 0
    dropped: Counter = field(default_factory=Counter)
    refused: Counter = field(default_factory=Counter)
    lost: Counter = field(default_factory=Counter)
    failed: Counter = field(default_factory=Counter)
    passed_by_reason: Counter = field(default_factory=Counter)
    failures: Counter = field(default_factory=Counter)
    answers: Histogram = field(default_factory=Histogram)
    platform_calls: Histogram = field(default_factory=Histogram)
    evacuated_openings: Histogram = field(default_factory=Histogram)

    def count_dropped(self, reason: str) -> None:
        """Count a datagram that was dropped."""
        self.dropped[reason] += 1

    def count_refused(self, reason: str) -> None:
        """Count a flow that was refused."""
        self.refused[reason] += 1

    def count_answered(self, seconds: float) -> None:
        """Count an answered request."""
        self.answers.observe(seconds)
