"""Writes results and plots, and prints the tables."""

from __future__ import annotations

import json
from pathlib import Path

from attrs import asdict

from ._pages import PAGES
from ._run import Measurement

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
    """Return one line for each page and policy."""
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
    """Write one JSON file and one plot for each page."""
    directory.mkdir(parents=True, exist_ok=True)
    for page in PAGES:
        entries = [entry for entry in measurements if entry.page == page.id]
        if entries:
            document = {
                "page": asdict(page),
                "results": [asdict(entry) for entry in entries],
            }
            (directory / f"{page.id}.json").write_text(
                json.dumps(document, indent=2) + "\n"
            )
            plot_page(directory / f"{page.id}.png", title=page.title, entries=entries)


def plot_page(path: Path, *, title: str, entries: list[Measurement]) -> None:
    """Draw worth, imbalance and latency of each policy side by side."""
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
