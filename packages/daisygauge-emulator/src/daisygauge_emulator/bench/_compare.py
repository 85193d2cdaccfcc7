"""Runs every policy with the same arrivals."""

from __future__ import annotations

from collections.abc import Iterable

from ..fleet import AddressPlan
from ._policies import DEFAULT_POLICIES, OURS, POLICIES
from ._report import format_measurements
from ._run import Measurement, run_scenarios
from ._scenarios import SCENARIOS

SCENARIO_IDS = tuple(scenario.id for scenario in SCENARIOS)


async def run_policies(
    *,
    scenarios: Iterable[str] = SCENARIO_IDS,
    policies: Iterable[str] = DEFAULT_POLICIES,
) -> list[Measurement]:
    """Run the named scenarios under each named policy, one fleet after another."""
    measurements = []
    for number, policy in enumerate(policies):
        chosen = [
            scenario
            for scenario in SCENARIOS
            if scenario.id in scenarios and (policy == OURS or not scenario.only_ours)
        ]
        results = await run_scenarios(
            chosen,
            policy=policy,
            fields=POLICIES[policy],
            addresses=AddressPlan.for_this_process(number=number),
        )
        print(format_measurements(results), flush=True)
        measurements += results
    return measurements
