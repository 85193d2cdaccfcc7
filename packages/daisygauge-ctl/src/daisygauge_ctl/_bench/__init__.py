"""``daisygaugectl bench``: runs experiments with real processes on this machine."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

from absl import flags

from daisygauge_daemon import MisuseError

from .._command import EXIT_OK, EXIT_PROBLEM, Command
from ._agent import AGENT
from ._datapath import DATAPATH
from ._experiment import Experiment, Options
from ._policies import POLICIES
from ._relayed import RELAYED
from ._report import print_report, write_report
from ._startup import STARTUP

EXPERIMENTS: dict[str, Experiment] = {
    experiment.name: experiment
    for experiment in (DATAPATH, AGENT, POLICIES, RELAYED, STARTUP)
}

DESCRIPTION = (
    """
Runs experiments with real daemons and small stand-ins on loopback addresses,
prints targets beside what was measured and writes one JSON file for each. Ratios
are taken within one run. Experiments:
"""
    + "\n".join(f"  {name}: {each.summary}" for name, each in EXPERIMENTS.items())
    + """

Exit codes: 0 every target was met, 1 a target was missed, 2 misuse.
"""
)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of ``bench``."""
    flags.DEFINE_string(
        "results", "bench", "Directory for the results.", flag_values=values
    )
    flags.DEFINE_float(
        "seconds", 2.0, "Length of each part.", 0.2, 600.0, flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "Seed of random choices.", flag_values=values)
    flags.DEFINE_integer(
        "network",
        40,
        "Second number of the loopback addresses used (127.N.x.x).",
        1,
        255,
        flag_values=values,
    )


def run_experiments(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Run the experiments named as arguments, or all of them if none is named.

    :return: the exit code.
    :raises MisuseError: an argument names no experiment.
    """
    unknown = [name for name in arguments if name not in EXPERIMENTS]
    if unknown:
        raise MisuseError(
            f"unknown experiment {unknown[0]!r}; use one of: {', '.join(EXPERIMENTS)}"
        )
    options = Options(
        seconds=values.seconds,
        seed=values.seed,
        network=values.network,
        results=values.results,
    )
    all_met = True
    for name in arguments or EXPERIMENTS:
        report = asyncio.run(EXPERIMENTS[name].run(options))
        write_report(report, directory=Path(values.results))
        print_report(report)
        all_met = all_met and report.met
    return EXIT_OK if all_met else EXIT_PROBLEM


BENCH = Command(
    name="bench",
    summary="run experiments on this machine and compare them with their targets",
    arguments="[EXPERIMENT...]",
    description=DESCRIPTION,
    define_flags=define_flags,
    handler=run_experiments,
)
