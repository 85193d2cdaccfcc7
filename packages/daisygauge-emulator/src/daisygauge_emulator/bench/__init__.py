"""Benchmarks of the policies against baselines on fleets of real daemons."""

from ._compare import run_policies
from ._policies import POLICIES
from ._report import write_results
from ._run import Measurement
from ._scenarios import SCENARIOS, SEED, Scenario
from ._targets import TargetResult, evaluate_targets

__all__ = [
    "POLICIES",
    "SCENARIOS",
    "SEED",
    "Measurement",
    "Scenario",
    "TargetResult",
    "evaluate_targets",
    "run_policies",
    "write_results",
]
