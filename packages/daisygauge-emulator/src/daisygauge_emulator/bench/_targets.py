"""The targets of issue 5, which were set before any measurement."""

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
FAULT_SCENARIOS = ("slow", "lying", "black-hole")


@frozen(kw_only=True)
class TargetResult:
    """A target and the measured value.

    :param scenario: id of the scenario, ``Measurement.page``.
    :param comparison: ``<=`` or ``>=``, as in ``measured <= target``.
    """

    scenario: str
    measure: str
    comparison: str
    target: float
    measured: float


def _at_most(
    scenario: str, measure: str, limit: float, measured: float
) -> TargetResult:
    return TargetResult(
        scenario=scenario,
        measure=measure,
        comparison="<=",
        target=limit,
        measured=measured,
    )


def _at_least(
    scenario: str, measure: str, limit: float, measured: float
) -> TargetResult:
    return TargetResult(
        scenario=scenario,
        measure=measure,
        comparison=">=",
        target=limit,
        measured=measured,
    )


def evaluate_targets(measurements: Iterable[Measurement]) -> list[TargetResult]:
    """Compare the measurements of our policies with their targets.

    Targets of scenarios that did not run are left out.
    """
    measurements = list(measurements)
    ours = {entry.page: entry for entry in measurements if entry.policy == OURS}
    results = []
    for scenario in ("steady", "pinned"):
        if scenario in ours:
            imbalance = ours[scenario].summary.imbalance
            results.append(_at_most(scenario, "imbalance", MAX_IMBALANCE, imbalance))
    if "steady" in ours:
        ratio = ours["steady"].lookup_p99_seconds / ours["steady"].ideal_p99_seconds
        results.append(_at_most("steady", "lookup p99 / ideal", MAX_P99_RATIO, ratio))
    if "busy" in ours:
        share = ours["busy"].summary.worth_share
        results.append(_at_least("busy", "worth in time", MIN_WORTH_BUSY, share))
    results += _evaluate_overload(ours, measurements)
    results += _evaluate_faults(ours)
    for scenario, entry in ours.items():
        results.append(
            _at_most(scenario, "extra runs", MAX_EXTRA_RUNS, entry.extra_runs)
        )
        broken = entry.summary.broken_flows
        results.append(_at_most(scenario, "broken flows", 0, broken))
    return results


def _evaluate_overload(
    ours: dict[str, Measurement], measurements: list[Measurement]
) -> list[TargetResult]:
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


def _evaluate_faults(ours: dict[str, Measurement]) -> list[TargetResult]:
    if "without" not in ours:
        return []
    limit = ours["without"].summary.worth_share * (1.0 - MAX_FAULT_LOSS)
    return [
        _at_least(scenario, "worth in time", limit, ours[scenario].summary.worth_share)
        for scenario in FAULT_SCENARIOS
        if scenario in ours
    ]
