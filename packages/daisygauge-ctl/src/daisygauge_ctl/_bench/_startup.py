"""Measures the cost of loading a process for relayed flows."""

from __future__ import annotations

import json
import subprocess
import sys
from statistics import median

from attrs import frozen

from ._experiment import Experiment, Options, Report, Target

MODULES = {
    "balancer": "daisygauge_relay._balancer",
    "agent": "daisygauge_relay._agent",
}
RUNS_PER_ROLE = 9
"""New processes for each role; the median is robust against single disturbed runs."""
TARGET_CPU_SECONDS = 0.3
TARGET_MEMORY_MB = 30.0

_CHILD_PROGRAM = """
import importlib, json, resource
importlib.import_module("daisygauge_relay._main")
importlib.import_module("daisygauge_relay._serve")
importlib.import_module({module!r})
used = resource.getrusage(resource.RUSAGE_SELF)
# The peak that getrusage reports includes the parent's memory before exec.
status = open("/proc/self/status").read()
peak_kb = int(status.partition("VmHWM:")[2].split()[0])
print(json.dumps([used.ru_utime + used.ru_stime, peak_kb / 1024]))
"""


@frozen(kw_only=True)
class StartupCost:
    """Median cost of loading the modules of a role.

    :param cpu_seconds: user and system time.
    :param memory_mb: peak resident memory in MiB.
    """

    role: str
    cpu_seconds: float
    memory_mb: float


def measure_startup(role: str, *, runs: int = RUNS_PER_ROLE) -> StartupCost:
    """Load the modules of a role in new processes.

    The interpreter runs without ``site`` (``-S``), as ``deploy/system.toml`` has it.
    """
    paths = [path for path in sys.path if path]
    program = f"import sys; sys.path[:] = {paths!r}" + _CHILD_PROGRAM.format(
        module=MODULES[role]
    )
    command = [sys.executable, "-S", "-c", program]
    figures = [json.loads(subprocess.check_output(command)) for _ in range(runs)]
    return StartupCost(
        role=role,
        cpu_seconds=median(cpu for cpu, _ in figures),
        memory_mb=median(memory for _, memory in figures),
    )


async def run_startup(options: Options) -> Report:
    """Measure the loading of both roles."""
    costs = [measure_startup(role) for role in MODULES]
    targets = [
        target
        for cost in costs
        for target in (
            Target(
                name=f"processor time until a {cost.role} is loaded",
                measured=cost.cpu_seconds,
                comparison="<=",
                target=TARGET_CPU_SECONDS,
                unit=" s",
            ),
            Target(
                name=f"memory of a loaded {cost.role}",
                measured=cost.memory_mb,
                comparison="<=",
                target=TARGET_MEMORY_MB,
                unit=" MB",
            ),
        )
    ]
    return Report(
        experiment="startup",
        options=options,
        targets=tuple(targets),
        figures={"costs": costs},
    )


STARTUP = Experiment(
    name="startup",
    summary="processor time and memory until a process of relayed flows is loaded",
    run=run_startup,
)
