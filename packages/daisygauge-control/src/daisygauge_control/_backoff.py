"""Waiting times between tries that fail."""

from __future__ import annotations

import random

FIRST_SECONDS = 0.2
LONGEST_SECONDS = 5.0


def backoff_seconds(
    failures: int,
    *,
    rng: random.Random,
    first: float = FIRST_SECONDS,
    longest: float = LONGEST_SECONDS,
) -> float:
    """Return the time to wait after a number of failures in a row.

    Exponential with half of it drawn at random, so that daemons which failed
    together do not try again together, and none tries again at once.

    :param failures: at least 1.
    """
    ceiling = min(longest, first * 2 ** min(failures - 1, 16))
    return ceiling * rng.uniform(0.5, 1.0)
