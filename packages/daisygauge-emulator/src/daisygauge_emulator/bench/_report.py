"""Writes results and plots, and formats tables."""

from __future__ import annotations

import json
from pathlib import Path

from attrs import asdict

from ._run import Measurement
from ._scenarios import SCENARIOS

COLUMNS = (
    "page",
    "policy",
    "worth",
    "of possible",
    "imbalance",
    "p99 s",
    "ideal s",
    "extra",
    "broken",
    "late s",
)


def format_measurements(measurements: list[Measurement]) -> str:
    """Return a table with one line for each scenario and policy."""
    lines = ["{:<11}{:<16}".format(*COLUMNS) + "".join(f"{c:>12}" for c in COLUMNS[2:])]
    for entry in measurements:
        summary = entry.summary
        figures = (
            summary.worth_share,
            entry.carried_share,
            summary.imbalance,
            entry.lookup_p99_seconds,
            entry.ideal_p99_seconds,
            entry.extra_runs,
            summary.broken_flows,
            summary.max_lateness_seconds,
        )
        lines.append(
            f"{entry.page:<11}{entry.policy:<16}"
            + "".join(f"{figure:>12.3f}" for figure in figures)
        )
    return "\n".join(lines)


def write_results(directory: Path, *, measurements: list[Measurement]) -> None:
    """Write one JSON file and one plot for each scenario.

    In the files, scenarios are called pages.
    """
    directory.mkdir(parents=True, exist_ok=True)
    for scenario in SCENARIOS:
        entries = [entry for entry in measurements if entry.page == scenario.id]
        if entries:
            document = {
                "page": asdict(scenario),
                "results": [asdict(entry) for entry in entries],
            }
            (directory / f"{scenario.id}.json").write_text(
                json.dumps(document, indent=2) + "\n"
            )
            plot_scenario(
                directory / f"{scenario.id}.png", title=scenario.title, entries=entries
            )


def plot_scenario(path: Path, *, title: str, entries: list[Measurement]) -> None:
    """Plot worth, imbalance and latency of each policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(12, 4))
    names = [entry.policy for entry in entries]
    panels = {
        "worth answered in time (share)": [e.summary.worth_share for e in entries],
        "imbalance (max / mean)": [e.summary.imbalance for e in entries],
        "lookup p99 (s)": [e.lookup_p99_seconds for e in entries],
    }
    for axis, (label, values) in zip(axes, panels.items(), strict=True):
        axis.bar(names, values)
        axis.set_title(label)
        axis.tick_params(axis="x", rotation=30)
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
