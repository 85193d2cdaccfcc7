"""Compares the policies with baselines on fleets of real daemons."""

from __future__ import annotations

from pathlib import Path

from attrs import asdict, evolve

from daisygauge_emulator.bench import (
    SEED,
    evaluate_targets,
    run_policies,
    write_results,
)

from ._experiment import Experiment, Options, Report, Target


async def compare_policies(options: Options) -> Report:
    """Run every scenario (page) under every policy, and check the targets.

    Each page defines its own length and seed, which replace those of the options.
    """
    measurements = await run_policies()
    write_results(Path(options.results) / "policies", measurements=measurements)
    targets = tuple(
        Target(
            name=f"{result.scenario}: {result.measure}",
            measured=result.measured,
            comparison=result.comparison,
            target=result.target,
        )
        for result in evaluate_targets(measurements)
    )
    return Report(
        experiment="policies",
        options=evolve(options, seed=SEED),
        targets=targets,
        figures={"measurements": [asdict(entry) for entry in measurements]},
    )


POLICIES = Experiment(
    name="policies",
    summary="load, worth and imbalance of our policies beside baselines (5 minutes)",
    run=compare_policies,
)
