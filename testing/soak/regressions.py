"""Seeds that once revealed a defect; they are run again before each release.

A seed stands for the schedule that ``make_schedule`` draws from it. When the drawing
changes, the old one is kept beside it so that these cases keep their schedules.
"""

from __future__ import annotations

from attrs import frozen

from .faults import FAULT_KINDS, INITIAL_FAULT_KINDS


@frozen(kw_only=True)
class Regression:
    """One seed with the defect that it revealed.

    :param seconds: time in which the faults begin, in seconds.
    :param cause: the defect, for which the seed guards against a regression.
    :param kinds: kinds of faults from which the schedule is drawn.
    """

    seed: int
    seconds: float
    cause: str
    kinds: tuple[str, ...] = INITIAL_FAULT_KINDS


SIMILAR_SEQUENCE_NUMBERS = (
    "two upstreams answered an opening packet; the agent of the upstream that the "
    "client had not chosen claimed the flow, because its initial sequence number was "
    "close to that of the other"
)

REGRESSIONS = (
    Regression(
        seed=1,
        seconds=8.0,
        cause="an agent used the old entry at its address and passed new flows of "
        "another service to its upstream",
    ),
    Regression(
        seed=4,
        seconds=12.0,
        cause="SIGTERM killed a process that was still loading",
    ),
    Regression(
        seed=8,
        seconds=12.0,
        cause="a delayed entry made an agent drop flows of its upstream's current "
        "incarnation, which were reset",
    ),
    Regression(
        seed=10,
        seconds=12.0,
        cause="SIGTERM killed a process that was still loading",
    ),
    Regression(
        seed=11,
        seconds=12.0,
        cause="SIGTERM killed a process that was still loading",
    ),
    Regression(
        seed=14,
        seconds=12.0,
        cause="SIGTERM killed a process that was still loading",
    ),
    Regression(
        seed=25,
        seconds=12.0,
        cause="a flow was refused by a reset while an upstream that answered its "
        "opening packet late accepted it",
    ),
    Regression(
        seed=201,
        seconds=12.0,
        cause="two upstreams answered an opening packet late; the agent of the "
        "upstream that the client had not chosen claimed the flow, which was reset",
    ),
    Regression(
        seed=208,
        seconds=12.0,
        cause="two upstreams answered an opening packet late; the agent of the "
        "upstream that the client had not chosen claimed the flow, which was reset",
    ),
    Regression(
        seed=104,
        seconds=12.0,
        cause="seen once, its log was lost; same symptom as seed 503: "
        + SIMILAR_SEQUENCE_NUMBERS,
    ),
    Regression(
        seed=503, seconds=12.0, kinds=FAULT_KINDS, cause=SIMILAR_SEQUENCE_NUMBERS
    ),
)
