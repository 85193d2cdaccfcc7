"""Run seeds of the fault soak: ``python -m soak --first=1 --seeds=50``.

Prints one JSON line per seed, then a line with the numbers passed and failed.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from .faults import FAULT_KINDS
from .regressions import REGRESSIONS
from .run import Soak

FLAGS = flags.FLAGS
flags.DEFINE_integer("first", 1, "First seed to run.")
flags.DEFINE_integer("seeds", 1, "Number of seeds to run.", lower_bound=1)
flags.DEFINE_float(
    "seconds", 12.0, "Time in which the faults of a seed begin, in seconds."
)
flags.DEFINE_float("pause", 0.8, "Mean time between faults, in seconds.")
flags.DEFINE_integer("block", 44, "Second octet of the loopback addresses.")
flags.DEFINE_bool("regressions", False, "Run the regression seeds instead.")
flags.DEFINE_string("logs", "", "Directory in which the logs of all seeds are kept.")


def run_seed(seed, directory, *, seconds, kinds):
    """Run one seed, print its result and return True if all promises held."""
    soak = Soak(
        directory,
        seed=seed,
        block=FLAGS.block,
        seconds=seconds,
        pause=FLAGS.pause,
        kinds=kinds,
    )
    result = asyncio.run(soak.run())
    line = {
        "seed": seed,
        "faults": len(soak.schedule),
        "broken": result.violations,
        "outcomes": dict(result.outcomes),
        "lag_seconds": round(soak.fleet.lag_seconds, 2),
    }
    print(json.dumps(line), flush=True)
    return not result.violations


def select_cases():
    """Return each seed to run with its fault duration and its kinds of faults."""
    if FLAGS.regressions:
        return [(case.seed, case.seconds, case.kinds) for case in REGRESSIONS]
    seeds = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    return [(seed, FLAGS.seconds, FAULT_KINDS) for seed in seeds]


def main(argv):
    """Run the selected seeds and return exit code 1 if any promise was broken."""
    failed = []
    cases = select_cases()
    for seed, seconds, kinds in cases:
        with tempfile.TemporaryDirectory() as name:
            directory = Path(name)
            if FLAGS.logs:
                directory = Path(FLAGS.logs) / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            if not run_seed(seed, directory, seconds=seconds, kinds=kinds):
                failed.append(seed)
    print(f"{len(cases) - len(failed)} passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
