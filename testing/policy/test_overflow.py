"""Flows of a split route use the free slots of its other service, and only those."""

import heapq

import numpy as np
import pytest
from hypothesis import given, strategies as st

from daisygauge_policy import (
    AskedAgent,
    CrossOpening,
    OpeningReason,
    OtherService,
    PassOpening,
    RefuseOpening,
    ReturnOpening,
    TakeOpening,
    decide_overflow,
    decide_visit,
    is_short,
)

HOME, A, B, C, D, E = (bytes([10, 0, 0, n]) for n in range(6))
OTHER = OtherService(service=7, agents=(A, B))
REFUSAL = RefuseOpening(reason=OpeningReason.LEAVING)


def agent(load, *, slots=2, inability=None, name=HOME):
    return AskedAgent(agent=name, load=load, slots=slots, inability=inability)


def visit(load, *, name=A, tried=(), hops=0, inability=None):
    return decide_visit(
        own=agent(load, name=name, inability=inability),
        candidates=(A, B, C, D, E),
        tried=tried,
        hops=hops,
        home=HOME,
    )


def test_a_flow_stays_where_a_slot_is_free():
    decision = decide_overflow(TakeOpening(), own=agent(1), other=OTHER)

    assert decision == TakeOpening()


def test_a_flow_crosses_when_no_slot_is_free():
    decision = decide_overflow(TakeOpening(), own=agent(2), other=OTHER)

    assert decision == CrossOpening(target=A, service=7)


def test_a_flow_crosses_when_it_would_be_refused():
    assert decide_overflow(REFUSAL, own=agent(0), other=OTHER) == CrossOpening(
        target=A, service=7
    )


def test_the_agents_of_the_chosen_service_are_asked_first():
    asked_next = PassOpening(target=A, reason=OpeningReason.BUSY, tried=(HOME,))

    assert not is_short(asked_next, own=agent(5))
    assert decide_overflow(asked_next, own=agent(5), other=OTHER) == asked_next


@pytest.mark.parametrize("other", [None, OtherService(service=7, agents=())])
@pytest.mark.parametrize("decision", [TakeOpening(), REFUSAL])
def test_a_flow_without_another_service_stays(decision, other):
    assert decide_overflow(decision, own=agent(9), other=other) == decision


def test_a_visited_agent_takes_a_flow_with_a_free_slot_only():
    assert visit(1) == TakeOpening()
    assert visit(2) == PassOpening(target=B, reason=OpeningReason.BUSY, tried=(A,))


def test_a_flow_goes_back_when_no_visited_agent_has_a_free_slot():
    assert visit(2, name=D, tried=(A, B, C), hops=3) == ReturnOpening(target=HOME)


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), min_size=1, max_size=12))
def test_a_visit_ends_at_a_free_slot_or_at_home(agents):
    """Pass one packet on between agents of any load and ability."""
    names = [bytes([10, 0, 1, n]) for n in range(len(agents))]
    tried, own = (), 0
    for hops in range(len(agents) + 1):
        load, is_leaving = agents[own]
        inability = OpeningReason.LEAVING if is_leaving else None
        decision = decide_visit(
            own=agent(load, name=names[own], inability=inability),
            candidates=names,
            tried=tried,
            hops=hops,
            home=HOME,
        )
        match decision:
            case TakeOpening():
                assert load < 2 and not is_leaving
                return
            case ReturnOpening():
                assert decision.target == HOME
                return
        tried, own = decision.tried, names.index(decision.target)
    pytest.fail("the packet was still passed on")


# The load of the module's description: requests of a split route, each of which takes
# a slot of one of two services, and the other service's own requests.

SLOTS = {"small": 12, "large": 28}
SERVICE_SECONDS = 0.1
TARGET_SECONDS = 0.275


class Pool:
    """The slots of a service with one queue before them."""

    def __init__(self, slots):
        self.slots = slots
        self.free_at = [0.0] * slots

    def load(self, now):
        return sum(at > now for at in self.free_at)

    def has_free_slot(self, now):
        return self.load(now) < self.slots

    def run(self, now, seconds):
        begins = max(heapq.heappop(self.free_at), now)
        heapq.heappush(self.free_at, begins + seconds)
        return begins + seconds - now


def play(*, seed, small_rate, large_rate, overflows, seconds=20.0):
    """Return the response times of both services' requests, by chosen service."""
    rng = np.random.default_rng(seed)
    arrivals = sorted(
        (at, service)
        for service, rate in (("small", small_rate), ("large", large_rate))
        for at in rng.uniform(0.0, seconds, rng.poisson(rate * seconds))
    )
    pools = {service: Pool(slots) for service, slots in SLOTS.items()}
    times = {"small": [], "large": []}
    crossed = 0
    for at, service in arrivals:
        pool = pools[service]
        own = agent(pool.load(at), slots=pool.slots)
        other = OTHER if overflows and service == "small" else None
        decision = decide_overflow(TakeOpening(), own=own, other=other)
        if isinstance(decision, CrossOpening):
            visited = pools["large"]
            load = visited.load(at)
            answer = decide_visit(
                own=agent(load, slots=visited.slots, name=A),
                candidates=(A,),
                tried=(),
                hops=0,
                home=HOME,
            )
            if answer == TakeOpening():
                pool = visited
                crossed += 1
        times[service].append(pool.run(at, rng.exponential(SERVICE_SECONDS)))
    return {name: np.array(values) for name, values in times.items()}, crossed


def on_time(times):
    return float(np.mean(times <= TARGET_SECONDS))


def test_callers_of_a_short_service_are_answered_in_time_by_the_other_one():
    """The small service gets 1.3 times what its slots can run."""
    rates = {"small_rate": 1.3 * SLOTS["small"] / SERVICE_SECONDS, "large_rate": 100.0}
    for seed in range(10):
        alone, _ = play(seed=seed, **rates, overflows=False)
        together, _ = play(seed=seed, **rates, overflows=True)

        assert on_time(alone["small"]) < 0.25
        assert on_time(together["small"]) > 0.9


def test_the_other_service_s_own_callers_lose_nothing():
    """The large service runs at four fifths of its slots with what crosses to it."""
    rates = {"small_rate": 1.3 * SLOTS["small"] / SERVICE_SECONDS, "large_rate": 150.0}
    for seed in range(10):
        alone, _ = play(seed=seed, **rates, overflows=False)
        together, crossed = play(seed=seed, **rates, overflows=True)

        assert crossed
        assert on_time(together["large"]) >= on_time(alone["large"]) - 0.01


def test_weights_hold_while_no_service_is_short():
    """Both services run at half of their slots."""
    for seed in range(10):
        times, crossed = play(
            seed=seed, small_rate=60.0, large_rate=140.0, overflows=True
        )

        assert crossed <= 0.02 * (len(times["small"]) + len(times["large"]))
