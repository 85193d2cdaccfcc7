"""Prints and stores the reports of experiments."""

from __future__ import annotations

import json
import os
import platform
from pathlib import Path
from typing import Any

from attrs import asdict

from ._experiment import Report

_VERDICTS = {True: "met", False: "MISSED"}


def describe_machine() -> dict[str, Any]:
    """Return the properties of this machine that measured figures depend on."""
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "load_average": os.getloadavg(),
    }


def write_report(report: Report, *, directory: Path) -> Path:
    """Write a report as JSON, with a description of this machine.

    :param directory: directory for the file; created if it is missing.
    :return: path of the written file.
    """
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{report.experiment}.json"
    content = asdict(report) | {"machine": describe_machine()}
    # The results directory has no influence on the figures.
    del content["options"]["results"]
    path.write_text(json.dumps(content, indent=2) + "\n")
    return path


def print_report(report: Report) -> None:
    """Print the measured figures of a report with their targets."""
    print(f"{report.experiment}:")
    for target in report.targets:
        print(
            f"  {target.name}: {target.measured:.4g}{target.unit} "
            f"(target {target.comparison} {target.target:g}{target.unit}) "
            f"{_VERDICTS[target.met]}"
        )
