import heapq
import random

import pytest

from daisygauge_policy import RequestScheduler, ScheduledRequest


@pytest.fixture
def scheduler():
    return RequestScheduler(slots=lambda: 2)


def request(name, *, priority=1, target_at=1.0, deadline_at=2.0):
    return ScheduledRequest(
        flow=name, priority=priority, target_at=target_at, deadline_at=deadline_at
    )


def fill(scheduler, count=3):
    for number in range(count):
        scheduler.submit(request(b"running-%d" % number), now=0.0)


def test_requests_are_dispatched_up_to_the_slots_and_one_spare(scheduler):
    sent = [scheduler.submit(request(bytes([n])), now=0.0).sent for n in range(4)]

    assert sent == [[b"\0"], [b"\1"], [b"\2"], []]


def test_an_answer_dispatches_the_next_request(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"next"), now=0.0)

    assert scheduler.end(b"running-0", now=0.1).sent == [b"next"]


def test_more_important_requests_go_first(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"lookup", priority=2), now=0.0)
    scheduler.submit(request(b"order", priority=1), now=0.0)

    assert scheduler.end(b"running-0", now=0.1).sent == [b"order"]


def test_a_request_that_can_be_in_time_goes_before_one_that_is_late(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"late", priority=1, target_at=0.05), now=0.0)
    scheduler.submit(request(b"in-time", priority=2, target_at=1.0), now=0.0)

    assert scheduler.end(b"running-0", now=0.2).sent == [b"in-time"]


def test_late_requests_run_when_nothing_else_waits(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"late", target_at=0.05), now=0.0)

    assert scheduler.end(b"running-0", now=0.2).sent == [b"late"]


def test_a_request_after_its_deadline_does_not_run(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"gone", deadline_at=0.1), now=0.0)

    change = scheduler.end(b"running-0", now=0.2)
    assert (change.sent, change.expired) == ([], [b"gone"])


def test_a_missing_answer_occupies_a_slot_only_for_a_while(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"next", target_at=9.0, deadline_at=9.0), now=0.0)

    assert scheduler.dispatch(now=0.1).sent == []
    assert scheduler.dispatch(now=2.1).sent == [b"next"]


def test_a_run_of_several_mean_service_times_keeps_its_slot(scheduler):
    scheduler.service_seconds = 0.06
    fill(scheduler)
    scheduler.submit(request(b"next", target_at=9.0, deadline_at=9.0), now=0.0)

    assert scheduler.dispatch(now=0.5).sent == []


def test_all_requests_are_dispatched_while_the_slots_are_unknown():
    scheduler = RequestScheduler(slots=lambda: None)

    assert [scheduler.submit(request(bytes([n])), now=0.0).sent for n in range(9)] == [
        [bytes([n])] for n in range(9)
    ]


def test_the_end_of_a_waiting_flow_frees_no_slot(scheduler):
    fill(scheduler)
    scheduler.submit(request(b"waits"), now=0.0)

    assert scheduler.end(b"waits", now=0.1).sent == []
    assert scheduler.load(now=0.1) == 3


def simulate(*, is_limited, rng):
    """Simulate two seconds of backlog after an outage at one host of two slots.

    :return: worth of answers: 1 within 0.12 s, 0.3 within 0.8 s.
    """
    arrivals = [(rng.uniform(0.0, 0.05), rng.uniform(0.0, 0.6)) for _ in range(40)]
    arrivals += [(0.05 + n / 45.0, 0.0) for n in range(90)]
    scheduler = RequestScheduler(slots=(lambda: 2) if is_limited else (lambda: None))
    sent_at, queue, running, worth = {}, [], [], 0.0
    events = [(at, 0, n) for n, (at, _) in enumerate(sorted(arrivals))]
    heapq.heapify(events)
    ages = [age for _, age in sorted(arrivals)]

    def start(now):
        while queue and len(running) < 2:
            running.append(queue.pop(0))
            heapq.heappush(events, (now + rng.expovariate(1 / 0.03), 1, running[-1]))

    while events:
        now, kind, n = heapq.heappop(events)
        if kind == 0:
            sent_at[n] = now - ages[n]
            change = scheduler.submit(
                ScheduledRequest(
                    flow=bytes([n]), priority=1, target_at=sent_at[n] + 0.12,
                    deadline_at=sent_at[n] + 0.8,
                ),
                now=now,
            )  # fmt: skip
        else:
            running.remove(n)
            took = now - sent_at[n]
            worth += 1.0 if took <= 0.12 else 0.3 if took <= 0.8 else 0.0
            change = scheduler.end(bytes([n]), now=now)
        queue.extend(flow[0] for flow in change.sent)
        start(now)
    return worth


def test_after_an_outage_the_scheduler_beats_order_of_arrival():
    scheduled = sum(simulate(is_limited=True, rng=random.Random(n)) for n in range(20))
    unscheduled = sum(
        simulate(is_limited=False, rng=random.Random(n)) for n in range(20)
    )

    assert scheduled > 1.1 * unscheduled


def simulate_overload(rng, *, load, seconds=4.0):
    """Simulate an overload at one host of one slot.

    :return: requests that ran though their client had given up before the answer, and
        requests that were answered in time for their client.
    """
    work_seconds, target_seconds, deadline_seconds = 0.022, 0.3, 1.0
    at, arrivals = 0.0, []
    while at < seconds:
        at += rng.expovariate(load / work_seconds)
        arrivals.append(at)
    scheduler = RequestScheduler(slots=lambda: 1)
    events = [(at, 0, n) for n, at in enumerate(arrivals)]
    queue, running, wasted, served = [], [], 0, 0
    while events:
        now, kind, n = heapq.heappop(events)
        if kind == 0:
            arrived = ScheduledRequest(
                flow=n,
                priority=1,
                target_at=now + target_seconds,
                deadline_at=now + deadline_seconds,
            )
            change = scheduler.submit(arrived, now=now)
        else:
            running.remove(n)
            is_wasted = now > arrivals[n] + deadline_seconds
            wasted += is_wasted
            served += not is_wasted
            scheduler.record_service_time(now - scheduler.running[n])
            change = scheduler.end(n, now=now)
        queue.extend(change.sent)
        while queue and not running:
            running.append(queue.pop(0))
            took = work_seconds * rng.lognormvariate(-0.125, 0.5)
            heapq.heappush(events, (now + took, 1, running[-1]))
    return wasted, served


@pytest.mark.parametrize("load", [1.2, 1.6, 2.5])
def test_an_overloaded_host_rarely_runs_requests_whose_client_gave_up(load):
    results = [simulate_overload(random.Random(seed), load=load) for seed in range(20)]
    wasted, served = map(sum, zip(*results, strict=True))

    assert wasted <= 0.01 * (wasted + served)


def test_a_request_that_cannot_meet_its_deadline_goes_last(scheduler):
    fill(scheduler)
    scheduler.record_service_time(3.0)
    scheduler.submit(
        request(b"hopeless", priority=0, target_at=0.05, deadline_at=0.3), now=0.0
    )
    scheduler.submit(
        request(b"late", priority=2, target_at=0.1, deadline_at=9.0), now=0.0
    )

    assert scheduler.end(b"running-0", now=0.2).sent == [b"late"]
    assert scheduler.end(b"running-1", now=0.25).sent == [b"hopeless"]


def test_requests_with_a_missing_answer_are_not_counted_as_load(scheduler):
    fill(scheduler)

    assert scheduler.load(now=0.1) == 3
    assert scheduler.load(now=5.0) == 0
