"""Experiments with real daemons: the policies against baselines in one run."""

from ._pages import PAGES, Page
from ._policies import POLICIES
from ._run import Measurement, run_pages

__all__ = ["PAGES", "POLICIES", "Measurement", "Page", "run_pages"]
