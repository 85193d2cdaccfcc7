"""Measures of a load: latency, worth answered in time, imbalance and outcomes."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen
from hdrh.histogram import HdrHistogram

from ..caller import NotRun, Unknown
from ._run import LoadResult, Sample

MICROSECONDS = 1_000_000
MAX_LATENCY_MICROSECONDS = 3_600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
WINDOW_SECONDS = 10.0


@frozen(kw_only=True)
class Latency:
    """Percentiles of latencies in seconds."""

    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float


@frozen(kw_only=True)
class Summary:
    """The measures of one load.

    :param answered: complete answers with status 200 and no defect.
    :param in_time: number of them that met their deadline.
    :param other: complete answers with another status or a defect.
    :param worth_share: worth answered completely and in time, as a share of all
        offered worth.
    :param imbalance: see ``imbalance()``.
    :param broken_flows: connections that ended without a preceding GOAWAY.
    :param max_lateness_seconds: longest delay of the sender; a large value means
        that the sender was overloaded and that the run is invalid.
    """

    requests: int
    answered: int
    in_time: int
    not_run: int
    unknown: int
    other: int
    worth_share: float
    imbalance: float
    latency: Latency
    broken_flows: int
    max_lateness_seconds: float


def summarize_latencies(seconds: Iterable[float]) -> Latency:
    """Return percentiles of latencies, computed with an HDR histogram."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, round(value * MICROSECONDS)))

    def percentile(share: float) -> float:
        return histogram.get_value_at_percentile(share) / MICROSECONDS

    return Latency(
        count=histogram.get_total_count(),
        p50=percentile(50),
        p90=percentile(90),
        p99=percentile(99),
        p999=percentile(99.9),
        max=histogram.get_max_value() / MICROSECONDS,
    )


def worth_share(samples: Iterable[Sample]) -> float:
    """Return the worth answered completely and in time as a share of all worth."""
    offered = answered = 0.0
    for sample in samples:
        worth = sample.arrival.kind.worth
        offered += worth
        answered += worth * sample.in_time
    return answered / offered if offered else 1.0


def imbalance(
    samples: Iterable[Sample],
    *,
    slots: Mapping[str, int],
    window_seconds: float = WINDOW_SECONDS,
) -> float:
    """Return the largest ratio of the busiest host to the mean, per slot.

    Answered requests are counted for each complete window. The last, incomplete
    window is ignored unless it is the only one.

    :param slots: number of slots of each host that should share the load.
    """
    done: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for sample in samples:
        if sample.answered_whole and sample.upstream in slots:
            end = sample.arrival.at_seconds + sample.latency_seconds
            done[int(end // window_seconds)][sample.upstream] += 1
    windows = sorted(done)[:-1] or sorted(done)
    return max(
        (_window_imbalance(done[window], slots) for window in windows),
        default=1.0,
    )


def _window_imbalance(done: Counter[str], slots: Mapping[str, int]) -> float:
    per_slot = [done[host] / count for host, count in slots.items()]
    mean = sum(done.values()) / sum(slots.values())
    return max(per_slot) / mean if mean else 1.0


def summarize(result: LoadResult, *, slots: Mapping[str, int]) -> Summary:
    """Return all measures of a load.

    :param slots: number of slots of each host that should share the load.
    """
    samples: Sequence[Sample] = result.samples
    answered = [sample for sample in samples if sample.answered_whole]
    not_run = sum(isinstance(sample.outcome, NotRun) for sample in samples)
    unknown = sum(isinstance(sample.outcome, Unknown) for sample in samples)
    return Summary(
        requests=len(samples),
        answered=len(answered),
        in_time=sum(sample.in_time for sample in samples),
        not_run=not_run,
        unknown=unknown,
        other=len(samples) - len(answered) - not_run - unknown,
        worth_share=worth_share(samples),
        imbalance=imbalance(samples, slots=slots),
        latency=summarize_latencies(sample.latency_seconds for sample in answered),
        broken_flows=len(result.lost),
        max_lateness_seconds=max(
            (sample.lateness_seconds for sample in samples), default=0.0
        ),
    )
