"""Random arrivals, drawn before the run so that answers cannot delay them."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import field, frozen


@frozen(kw_only=True)
class ConstantWork:
    """Every run occupies its slot for the same time.

    :param seconds: time in the slot.
    """

    seconds: float

    @property
    def mean_seconds(self) -> float:
        """Mean time in the slot in seconds."""
        return self.seconds


@frozen(kw_only=True)
class ExponentialWork:
    """Exponentially distributed time in the slot, truncated at a maximum."""

    mean_seconds: float
    max_seconds: float = float("inf")


Work = ConstantWork | ExponentialWork


@frozen(kw_only=True)
class RequestKind:
    """A kind of request in a load.

    :param share: relative share of all arrivals.
    :param worth: value of an answer that is complete and in time.
    :param deadline_seconds: time after which the answer is useless.
    :param keyed: whether requests have an idempotency key.
    :param size: length of the answer's body in bytes.
    """

    name: str
    share: float
    work: Work
    worth: float = 1.0
    deadline_seconds: float = 3.0
    method: str = "GET"
    keyed: bool = False
    size: int = 200


@frozen(kw_only=True)
class Phase:
    """A period with a constant mean rate.

    :param rate: arrivals per second.
    """

    seconds: float
    rate: float


@frozen(kw_only=True)
class LoadPlan:
    """Phases, kinds of requests and connections of a load.

    :param phases: consecutive periods.
    :param flows: number of connections, to which arrivals are assigned at random.
    :param seed: seed of the arrivals.
    """

    phases: tuple[Phase, ...]
    kinds: tuple[RequestKind, ...]
    flows: int
    seed: int = 1

    @property
    def seconds(self) -> float:
        """Total duration of all phases in seconds."""
        return sum(phase.seconds for phase in self.phases)

    @property
    def mean_work_seconds(self) -> float:
        """Mean time in a slot over all kinds, weighted by share, in seconds."""
        total = sum(kind.share for kind in self.kinds)
        work = sum(kind.share * kind.work.mean_seconds for kind in self.kinds)
        return work / total


@frozen(kw_only=True)
class Arrival:
    """A request that is sent at a given time, independent of earlier outcomes.

    :param at_seconds: time since the start of the load.
    :param work_seconds: time that the request needs in a slot.
    :param flow: number of the connection on which the request is sent.
    """

    at_seconds: float
    work_seconds: float
    kind: RequestKind = field(repr=False)
    flow: int


def _draw_work(work: Work, generator: random.Random) -> float:
    match work:
        case ConstantWork(seconds=seconds):
            return seconds
        case ExponentialWork(mean_seconds=mean, max_seconds=longest):
            return min(generator.expovariate(1 / mean), longest)


def _draw_times(plan: LoadPlan, generator: random.Random) -> Iterator[float]:
    start = 0.0
    for phase in plan.phases:
        at = start
        while phase.rate > 0:
            at += generator.expovariate(phase.rate)
            if at >= start + phase.seconds:
                break
            yield at
        start += phase.seconds


def draw_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Draw Poisson arrivals; the same plan always yields the same arrivals."""
    generator = random.Random(plan.seed)
    weights = [kind.share for kind in plan.kinds]
    arrivals = []
    for at in _draw_times(plan, generator):
        kind = generator.choices(plan.kinds, weights=weights)[0]
        arrivals.append(
            Arrival(
                at_seconds=at,
                work_seconds=_draw_work(kind.work, generator),
                kind=kind,
                flow=generator.randrange(plan.flows),
            )
        )
    return arrivals
