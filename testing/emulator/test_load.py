from hypothesis import given, settings, strategies as st

from daisygauge_emulator.caller import Answered, NotRun
from daisygauge_emulator.load import (
    Arrival,
    ConstantWork,
    LoadPlan,
    Phase,
    RequestKind,
    Sample,
    draw_arrivals,
    imbalance,
    max_worth,
    single_queue_latencies,
    summarize_latencies,
    worth_share,
)

KIND = RequestKind(
    name="lookup", share=1.0, work=ConstantWork(seconds=1.0), deadline_seconds=2.0
)


def arrival(at_seconds, *, work_seconds=1.0):
    return Arrival(at_seconds=at_seconds, work_seconds=work_seconds, kind=KIND, flow=0)


def sample(*, upstream="a", at_seconds=0.0, latency_seconds=1.0, outcome=None):
    headers = {"x-upstream": upstream}
    return Sample(
        arrival=arrival(at_seconds),
        request_id="r",
        outcome=outcome or Answered(status=200, headers=headers),
        latency_seconds=latency_seconds,
        lateness_seconds=0.0,
    )


def test_a_plan_yields_the_same_arrivals_at_about_its_rate():
    plan = LoadPlan(phases=(Phase(seconds=10.0, rate=200.0),), kinds=(KIND,), flows=3)

    first, second = draw_arrivals(plan), draw_arrivals(plan)

    assert first == second
    assert 1_800 < len(first) < 2_200
    assert {drawn.flow for drawn in first} == {0, 1, 2}


def test_a_single_queue_serves_in_order_of_arrival():
    arrivals = [arrival(0.0), arrival(0.0), arrival(0.5)]

    assert single_queue_latencies(arrivals, slots=2) == [1.0, 1.0, 1.5]


@settings(derandomize=True)
@given(
    times=st.lists(st.floats(0, 10), min_size=1, max_size=30),
    slots=st.integers(1, 4),
)
def test_no_latency_of_a_single_queue_is_shorter_than_the_work(times, slots):
    latencies = single_queue_latencies([arrival(at) for at in times], slots=slots)

    assert min(latencies) >= 1.0 - 1e-9


def test_max_worth_is_limited_by_the_time_of_the_slots():
    arrivals = [arrival(0.0, work_seconds=1.0) for _ in range(10)]

    assert max_worth(arrivals, slots=1, seconds=2.5) == 2.5


def test_late_and_refused_answers_have_no_worth():
    samples = [
        sample(),
        sample(latency_seconds=2.5),
        sample(outcome=NotRun(reason="full")),
        sample(),
    ]

    assert worth_share(samples) == 0.5


def test_imbalance_includes_hosts_without_requests():
    samples = [sample(upstream="a")] * 6 + [sample(upstream="b")] * 2

    assert imbalance(samples, slots={"a": 1, "b": 1}) == 1.5
    assert imbalance(samples, slots={"a": 3, "b": 1}) == 1.0
    assert imbalance(samples, slots={"a": 1, "b": 1, "c": 2}) == 3.0


def test_percentiles_have_three_significant_digits():
    latency = summarize_latencies(number / 1_000 for number in range(1, 1_001))

    assert abs(latency.p99 - 0.99) < 0.001
