"""Options, targets and reports of experiments."""

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
    :param seed: seed of random choices.
    :param network: second number of the loopback addresses to use (127.N.x.x).
    :param results: directory for files that an experiment writes beside its report.
    """

    seconds: float
    seed: int
    network: int
    results: str = "bench"


@frozen(kw_only=True)
class Target:
    """A measured figure and the target that was set before the measurement.

    :param comparison: ``<=`` or ``>=``, with the figure on the left.
    :param unit: unit to print after both values, with a leading space.
    """

    name: str
    measured: float
    comparison: str
    target: float
    unit: str = ""

    @property
    def met(self) -> bool:
        """Whether the figure meets its target."""
        return COMPARISONS[self.comparison](self.measured, self.target)


@frozen(kw_only=True)
class Report:
    """The result of an experiment.

    :param figures: all measured figures by name, as attrs models or plain JSON values.
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
    """An experiment that ``daisygaugectl bench`` can run.

    :param run: runs the experiment; it starts and stops its own processes.
    """

    name: str
    summary: str
    run: Callable[[Options], Awaitable[Report]]
