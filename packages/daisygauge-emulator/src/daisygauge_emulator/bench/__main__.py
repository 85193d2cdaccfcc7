"""Compares the policies with baselines on fleets of real daemons.

Every policy gets the same seeded open-loop arrivals. Results and plots go to
the directory of ``--output``; the exit code is 1 when a target is missed.
"""

from __future__ import annotations

import sys
from pathlib import Path

import uvloop
from absl import app, flags

from daisygauge_emulator.bench import PAGES, POLICIES, Measurement, run_pages
from daisygauge_emulator.bench._policies import OURS
from daisygauge_emulator.bench._report import (
    format_measurements,
    format_verdicts,
    write_results,
)
from daisygauge_emulator.bench._targets import judge
from daisygauge_emulator.fleet import AddressPlan


async def run_policies(pages: list[str], policies: list[str]) -> list[Measurement]:
    """Run the named pages under each named policy, one fleet after another."""
    measurements = []
    for number, policy in enumerate(policies):
        chosen = [
            page
            for page in PAGES
            if page.id in pages and (policy == OURS or not page.only_ours)
        ]
        results = await run_pages(
            chosen,
            policy=policy,
            fields=POLICIES[policy],
            addresses=AddressPlan.for_this_process(number=number),
        )
        print(format_measurements(results), flush=True)
        measurements += results
    return measurements


def main(arguments: list[str]) -> None:
    """Run the experiments and print target against measured."""
    if len(arguments) > 1:
        raise app.UsageError(f"unknown argument {arguments[1]!r}; use --help")
    values = flags.FLAGS
    measurements = uvloop.run(run_policies(values.pages, values.policies))
    verdicts = judge(measurements)
    write_results(Path(values.output), measurements=measurements, verdicts=verdicts)
    print(format_verdicts(verdicts))
    sys.exit(0 if all(verdict.met for verdict in verdicts) else 1)


if __name__ == "__main__":
    page_ids = [page.id for page in PAGES]
    flags.DEFINE_multi_enum("pages", page_ids, page_ids, "Experiments to run.")
    flags.DEFINE_multi_enum(
        "policies", list(POLICIES), list(POLICIES), "Policies to compare."
    )
    flags.DEFINE_string("output", "bench", "Directory of results and plots.")
    app.run(main)
