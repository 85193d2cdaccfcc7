"""Plays seeds of the fault soak: ``python -m soak --first=1 --seeds=50``.

Each seed prints one JSON line; a line with the numbers passed and failed closes.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from .faults import KINDS
from .regressions import REGRESSIONS
from .run import Soak

FLAGS = flags.FLAGS
flags.DEFINE_integer("first", 1, "First seed.")
flags.DEFINE_integer("seeds", 1, "How many seeds.", lower_bound=1)
flags.DEFINE_float("seconds", 12.0, "Length of each seed's faults.")
flags.DEFINE_float("pause", 0.8, "Mean time between faults, in seconds.")
flags.DEFINE_integer("block", 44, "Second number of the loopback addresses.")
flags.DEFINE_bool("regressions", False, "Play the seeds that once failed.")
flags.DEFINE_string("logs", "", "Directory that keeps the logs of failed seeds.")


def play(seed, directory, *, seconds, kinds):
    """Play one seed and print a line for it; tells whether all promises held."""
    soak = Soak(
        directory,
        seed=seed,
        block=FLAGS.block,
        seconds=seconds,
        pause=FLAGS.pause,
        kinds=kinds,
    )
    result = asyncio.run(soak.play())
    line = {
        "seed": seed,
        "faults": len(soak.schedule),
        "broken": result.broken,
        "outcomes": dict(result.outcomes),
        "lag_seconds": round(soak.fleet.lag, 2),
    }
    print(json.dumps(line), flush=True)
    return not result.broken


def list_cases():
    """Return the seeds to play, each with the length and kinds of its faults."""
    if FLAGS.regressions:
        return [(case.seed, case.seconds, case.kinds) for case in REGRESSIONS]
    seeds = range(FLAGS.first, FLAGS.first + FLAGS.seeds)
    return [(seed, FLAGS.seconds, KINDS) for seed in seeds]


def main(argv):
    """Play every seed; the exit code is 1 when a promise was broken."""
    failed = []
    cases = list_cases()
    for seed, seconds, kinds in cases:
        with tempfile.TemporaryDirectory() as name:
            directory = Path(name)
            if FLAGS.logs:
                directory = Path(FLAGS.logs) / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            if not play(seed, directory, seconds=seconds, kinds=kinds):
                failed.append(seed)
    print(f"{len(cases) - len(failed)} passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(app.run(main))
