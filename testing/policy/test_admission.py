import itertools

from attrs import evolve
from hypothesis import given, strategies as st

from daisygauge_policy import (
    AdmissionQueue,
    Admit,
    RefusalReason,
    Refuse,
    SlotUse,
    WaitingRequest,
)
from daisygauge_records import FifoQueue, WorthQueue

NOW = 100.0
IDS = itertools.count()
BUSY = SlotUse(limit=2, expected_ends=(NOW + 0.1, NOW + 0.1))


def make_request(*, worth=1.0, seconds=0.1, within=10.0, caller="a", arrived=NOW):
    return WaitingRequest(
        id=f"request-{next(IDS)}",
        caller=caller,
        worth=worth,
        expected_seconds=seconds,
        arrived=arrived,
        deadline=arrived + within,
    )


def make_queue(queue=None, *, slots=2, caller_share=1.0):
    return AdmissionQueue(queue or WorthQueue(), slots=slots, caller_share=caller_share)


def offer(queue, request, slots=BUSY):
    return queue.offer(request, slots=slots, now=NOW)


def test_the_earliest_deadline_runs_first():
    queue = make_queue()
    late, early = make_request(within=9.0), make_request(within=2.0)
    offer(queue, late)
    offer(queue, early)

    assert queue.take_next() is early
    assert queue.take_next() is late
    assert queue.take_next() is None


def test_a_request_that_can_not_be_in_time_is_refused_at_once():
    queue = make_queue()

    decision = offer(queue, make_request(within=0.15))

    assert decision.reason is RefusalReason.LATE
    assert decision.retry_after_seconds > 0.0
    assert len(queue) == 0


def test_a_worthier_request_takes_the_place_of_a_lesser_one():
    queue = make_queue()
    lesser = make_request(worth=1.0, seconds=1.0, within=1.2)
    other = make_request(worth=1.0, seconds=1.0, within=1.2)
    worthier = make_request(worth=5.0, seconds=1.0, within=1.2)
    offer(queue, lesser)
    offer(queue, other)

    decision = offer(queue, worthier)

    assert isinstance(decision, Admit)
    assert [refusal.request.worth for refusal in decision.refused] == [1.0]
    assert worthier in queue.waiting


def test_a_long_request_does_not_evict_more_worth_than_its_own():
    queue = make_queue()
    small = [make_request(worth=1.0, seconds=0.5, within=1.2) for _ in range(4)]
    for request in small:
        offer(queue, request)

    decision = offer(queue, make_request(worth=1.7, seconds=0.8, within=1.2))

    assert isinstance(decision, Refuse)
    assert sorted(queue.waiting, key=id) == sorted(small, key=id)


def test_a_full_queue_refuses_the_least_worth():
    queue = make_queue(WorthQueue(capacity_per_slot=1))
    requests = [
        make_request(worth=worth, caller=str(worth)) for worth in (2.0, 1.0, 3.0)
    ]

    decisions = [offer(queue, request) for request in requests]

    refused = decisions[2].refused[0]
    assert refused.request is requests[1]
    assert refused.reason is RefusalReason.FULL


def test_one_caller_can_not_fill_the_queue():
    queue = make_queue(WorthQueue(capacity_per_slot=4), caller_share=0.5)
    decisions = [offer(queue, make_request(caller="greedy")) for _ in range(10)]

    modest = offer(queue, make_request(caller="modest"))

    reasons = [entry.reason for entry in decisions if isinstance(entry, Refuse)]
    assert reasons == [RefusalReason.CALLER_SHARE] * 6
    assert isinstance(modest, Admit)


def test_waiting_requests_are_refused_when_the_upstream_slows_down():
    queue = make_queue()
    request = make_request(within=1.0)
    offer(queue, request)
    slow = SlotUse(limit=1, expected_ends=(NOW + 2.0,))

    refused = queue.refuse_late(slots=slow, now=NOW)

    assert [entry.request for entry in refused] == [request]
    assert len(queue) == 0


def test_a_leaving_host_refuses_all_waiting_requests():
    queue = make_queue()
    offer(queue, make_request())

    refused = queue.refuse_all(slots=BUSY, now=NOW)

    assert [entry.reason for entry in refused] == [RefusalReason.LEAVING]
    assert len(queue) == 0


def test_a_cancelled_request_leaves_the_queue_once():
    queue = make_queue()
    request = make_request()
    offer(queue, request)

    assert queue.remove(request.id) is request
    assert queue.remove(request.id) is None


def test_the_baseline_runs_in_order_of_arrival_and_refuses_only_when_full():
    queue = make_queue(FifoQueue(capacity_per_slot=1))
    first = make_request(worth=0.1, within=0.1)
    second = make_request(worth=9.0, arrived=NOW + 1.0)

    decisions = [offer(queue, request) for request in (first, second)]
    third = offer(queue, make_request(worth=99.0, arrived=NOW + 2.0, caller="b"))

    assert [type(decision) for decision in decisions] == [Admit, Admit]
    assert third.reason is RefusalReason.FULL
    assert queue.take_next() is first


def test_without_slots_a_request_with_a_late_deadline_is_admitted():
    queue = make_queue()

    decision = offer(queue, make_request(within=10.0), SlotUse(limit=0))

    assert isinstance(decision, Admit)


requests_strategy = st.builds(
    make_request,
    worth=st.floats(0.1, 10.0),
    seconds=st.floats(0.01, 1.0),
    within=st.floats(0.01, 5.0),
    caller=st.sampled_from("abc"),
)


@given(requests=st.lists(requests_strategy, max_size=30), limit=st.integers(0, 4))
def test_every_request_has_one_outcome_and_worth_never_shrinks(requests, limit):
    queue = make_queue(WorthQueue(capacity_per_slot=4), caller_share=0.5)
    slots = SlotUse(limit=limit)
    refused = []
    for request in requests:
        before = sum(entry.worth for entry in queue.waiting)
        decision = offer(queue, request, slots)
        match decision:
            case Refuse():
                refused.append(decision.request)
            case Admit():
                refused += [entry.request for entry in decision.refused]

        assert sum(entry.worth for entry in queue.waiting) >= before - 1e-9
        assert len(queue) <= queue.capacity
        assert queue.refuse_late(slots=slots, now=NOW) == ()

    outcomes = sorted(entry.id for entry in refused + queue.waiting)
    assert outcomes == sorted(request.id for request in requests)


@given(requests=st.lists(requests_strategy, min_size=1, max_size=20))
def test_admitted_requests_are_in_time_when_expectations_hold(requests):
    queue = make_queue()
    for request in requests:
        offer(queue, request, SlotUse(limit=2))

    free = [NOW, NOW]
    while (request := queue.take_next()) is not None:
        end = min(free) + request.expected_seconds
        free[free.index(min(free))] = end

        assert end <= request.deadline


def test_density_is_worth_per_slot_time():
    request = make_request(worth=2.0, seconds=0.5)

    assert request.density == 4.0
    assert evolve(request, expected_seconds=0.0).density > 0.0
