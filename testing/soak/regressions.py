"""Seeds that once showed a fault; they are played again before each release.

A seed means the schedule that ``make_schedule`` draws from it. Where that changes, the
old drawing is kept beside the new one, so that these cases stay what they are.
"""

from __future__ import annotations

from attrs import frozen

from .faults import FIRST_KINDS, KINDS


@frozen(kw_only=True)
class Regression:
    """One seed with the fault that it showed.

    :param seconds: length of its faults.
    :param kinds: what its faults are drawn from.
    """

    seed: int
    seconds: float
    cause: str
    kinds: tuple[str, ...] = FIRST_KINDS


NUMBERS_NEAR = (
    "two upstreams answered an opening packet; the agent of the one that the client "
    "had not chosen took the flow for its own, as its first number was near the other's"
)

REGRESSIONS = (
    Regression(
        seed=1,
        seconds=8.0,
        cause="an agent went by the old entry at its address and gave its upstream "
        "new flows of another service",
    ),
    Regression(
        seed=4,
        seconds=12.0,
        cause="SIGTERM while a process loads ended it by the signal",
    ),
    Regression(
        seed=8,
        seconds=12.0,
        cause="an entry that came late let an agent forget flows of the upstream's "
        "present life, which were reset",
    ),
    Regression(
        seed=10,
        seconds=12.0,
        cause="SIGTERM while a process loads ended it by the signal",
    ),
    Regression(
        seed=11,
        seconds=12.0,
        cause="SIGTERM while a process loads ended it by the signal",
    ),
    Regression(
        seed=14,
        seconds=12.0,
        cause="SIGTERM while a process loads ended it by the signal",
    ),
    Regression(
        seed=25,
        seconds=12.0,
        cause="a flow was refused by a reset while an upstream that had been slow to "
        "answer its opening packet took it",
    ),
    Regression(
        seed=201,
        seconds=12.0,
        cause="two upstreams answered an opening packet late; the agent of the one "
        "that the client had not chosen claimed the flow, which was reset",
    ),
    Regression(
        seed=208,
        seconds=12.0,
        cause="two upstreams answered an opening packet late; the agent of the one "
        "that the client had not chosen claimed the flow, which was reset",
    ),
    Regression(
        seed=104,
        seconds=12.0,
        cause="seen once, lines lost; the same sight as seed 503: " + NUMBERS_NEAR,
    ),
    Regression(seed=503, seconds=12.0, kinds=KINDS, cause=NUMBERS_NEAR),
)
