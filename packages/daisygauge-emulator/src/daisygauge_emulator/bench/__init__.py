"""Experiments with real daemons: the policies against baselines in one run."""

from ._compare import run_policies
from ._pages import PAGES, SEED, Page
from ._policies import POLICIES
from ._report import write_results
from ._run import Measurement
from ._targets import TargetResult, evaluate_targets

__all__ = [
    "PAGES",
    "POLICIES",
    "SEED",
    "Measurement",
    "Page",
    "TargetResult",
    "evaluate_targets",
    "run_policies",
    "write_results",
]
