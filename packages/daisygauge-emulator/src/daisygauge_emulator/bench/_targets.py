"""The targets of issue 5, stated before any measurement."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from ._policies import OURS
from ._run import Measurement

MAX_IMBALANCE = 1.10
MIN_WORTH_BUSY = 0.99
MIN_CARRIED_OVERLOAD = 0.95
MAX_P99_RATIO = 2.0
MAX_EXTRA_RUNS = 0.10
MAX_FAULT_LOSS = 0.03
FAULT_PAGES = ("slow", "lying", "black-hole")


@frozen(kw_only=True)
class Verdict:
    """One target beside what was measured."""

    page: str
    measure: str
    comparison: str
    target: float
    measured: float


def _at_most(page: str, measure: str, limit: float, measured: float) -> Verdict:
    return Verdict(
        page=page,
        measure=measure,
        comparison="<=",
        target=limit,
        measured=measured,
    )


def _at_least(page: str, measure: str, limit: float, measured: float) -> Verdict:
    return Verdict(
        page=page,
        measure=measure,
        comparison=">=",
        target=limit,
        measured=measured,
    )


def judge(measurements: Iterable[Measurement]) -> list[Verdict]:
    """Compare our policies' measurements with every target they concern."""
    measurements = list(measurements)
    ours = {entry.page: entry for entry in measurements if entry.policy == OURS}
    verdicts = []
    for page in ("steady", "pinned"):
        if page in ours:
            imbalance = ours[page].summary.imbalance
            verdicts.append(_at_most(page, "imbalance", MAX_IMBALANCE, imbalance))
    if "steady" in ours:
        ratio = ours["steady"].lookup_p99_seconds / ours["steady"].ideal_p99_seconds
        verdicts.append(_at_most("steady", "lookup p99 / ideal", MAX_P99_RATIO, ratio))
    if "busy" in ours:
        share = ours["busy"].summary.worth_share
        verdicts.append(_at_least("busy", "worth in time", MIN_WORTH_BUSY, share))
    verdicts += _judge_overload(ours, measurements)
    verdicts += _judge_faults(ours)
    for page, entry in ours.items():
        verdicts.append(_at_most(page, "extra runs", MAX_EXTRA_RUNS, entry.extra_runs))
        broken = entry.summary.broken_flows
        verdicts.append(_at_most(page, "broken flows", 0, broken))
    return verdicts


def _judge_overload(
    ours: dict[str, Measurement], measurements: list[Measurement]
) -> list[Verdict]:
    if "overload" not in ours:
        return []
    carried = ours["overload"].carried_share
    best = max(
        (
            entry.carried_share
            for entry in measurements
            if entry.page == "overload" and entry.policy != OURS
        ),
        default=0.0,
    )
    return [
        _at_least("overload", "worth of possible", MIN_CARRIED_OVERLOAD, carried),
        _at_least("overload", "worth of best baseline", best, carried),
    ]


def _judge_faults(ours: dict[str, Measurement]) -> list[Verdict]:
    if "without" not in ours:
        return []
    limit = ours["without"].summary.worth_share * (1.0 - MAX_FAULT_LOSS)
    return [
        _at_least(page, "worth in time", limit, ours[page].summary.worth_share)
        for page in FAULT_PAGES
        if page in ours
    ]
