"""Delays between retries."""

from __future__ import annotations

import random

FIRST_SECONDS = 0.2
MAX_SECONDS = 5.0


def backoff_seconds(
    failures: int,
    *,
    rng: random.Random,
    first: float = FIRST_SECONDS,
    maximum: float = MAX_SECONDS,
) -> float:
    """Return the time to wait after a number of consecutive failures.

    The backoff is exponential. Half of it is random, so that daemons that failed
    together do not retry together. The other half is fixed, so that none retries at
    once.

    :param failures: number of consecutive failures, at least 1.
    :param first: upper bound after the first failure, in seconds.
    :param maximum: upper bound of all waits, in seconds.
    """
    ceiling = min(maximum, first * 2 ** min(failures - 1, 16))
    return ceiling * rng.uniform(0.5, 1.0)
