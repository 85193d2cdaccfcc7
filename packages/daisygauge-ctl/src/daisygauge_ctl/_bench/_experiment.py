"""What an experiment is given and what it returns."""

from __future__ import annotations

import operator
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import field, frozen

COMPARISONS = {"<=": operator.le, ">=": operator.ge}


@frozen(kw_only=True)
class Options:
    """How to run an experiment.

    :param seconds: length of each part.
    :param results: directory for files beside the report.
    :param network: second number of the loopback addresses to use.
    """

    seconds: float
    seed: int
    network: int
    results: str = "bench"


@frozen(kw_only=True)
class Target:
    """One figure beside the target that was set before it was measured.

    :param comparison: ``<=`` or ``>=``.
    """

    name: str
    measured: float
    comparison: str
    target: float
    unit: str = ""

    @property
    def met(self) -> bool:
        """Whether the figure is on the right side of its target."""
        return COMPARISONS[self.comparison](self.measured, self.target)


@frozen(kw_only=True)
class Report:
    """What an experiment has measured.

    :param figures: every figure, as attrs models or plain JSON values.
    """

    experiment: str
    options: Options
    targets: tuple[Target, ...]
    figures: dict[str, Any] = field(factory=dict)

    @property
    def met(self) -> bool:
        """Whether every target was met."""
        return all(target.met for target in self.targets)


@frozen(kw_only=True)
class Experiment:
    """One experiment.

    :param run: does it; starts and ends its own processes.
    """

    name: str
    summary: str
    run: Callable[[Options], Awaitable[Report]]
