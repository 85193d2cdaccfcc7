"""Hosts that fail requests get few new flows, unless many fail alike."""

import random
import statistics

import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    OpeningReason,
    OutlierDetector,
    OutlierEjected,
    OutlierReturned,
    OutliersCommon,
    PassOpening,
    TakeOpening,
    decide_opening,
    decide_visit,
)
from daisygauge_policy._outliers import PROBE_SECONDS

from .outlier_model import Fault, OutlierModel

INTERVAL = 1 / 12
GREY_HOSTS = 6
SEEDS = range(3)


def new_detector(hosts=50):
    return OutlierDetector(hosts=lambda: hosts)


def record(detector, responses, *, begin=0.0, interval=INTERVAL):
    """Record responses ("x" is a failure); return the changes and the time."""
    changes, now = [], begin
    for response in responses:
        now += interval
        changes.append(detector.record_response(failed=response == "x", now=now))
    return [change for change in changes if change is not None], now


def admits(detector, *, now, hops=0, best_load=None, slots=1):
    return detector.admits(hops=hops, best_load=best_load, slots=slots, now=now)


def ejected(hosts=50):
    detector = new_detector(hosts)
    (change,), now = record(detector, "xx")
    assert isinstance(change, OutlierEjected)
    return detector, now


@pytest.mark.parametrize(
    "responses", ["x", "." * 50 + "x" + "." * 50, ("x" + "." * 11) * 6, "." * 100]
)
def test_stray_failures_eject_no_host(responses):
    assert record(new_detector(), responses)[0] == []


def test_rare_failures_of_an_idle_host_do_not_add_up():
    """Two failures 10 s apart, with nothing between them."""
    assert record(new_detector(), "xxxx", interval=10.0)[0] == []


@pytest.mark.parametrize("share", [0.35, 0.45])
def test_a_failing_host_is_found_well_under_a_second(share):
    seconds = []
    for seed in range(500):
        rng = random.Random(seed)
        detector, now = new_detector(), 0.0
        while detector.ejected_at is None:
            now += rng.expovariate(1 / INTERVAL)
            detector.record_response(failed=rng.random() < share, now=now)
        seconds.append(now)

    assert statistics.median(seconds) < 0.6
    assert statistics.quantiles(seconds, n=10)[-1] < 1.3


def test_hosts_with_a_usual_share_of_failures_are_rarely_ejected():
    """Fifty hosts that fail 0.2% of their requests, for a minute."""
    count = 0
    for seed in range(50):
        rng = random.Random(seed)
        responses = ["x" if rng.random() < 0.002 else "." for _ in range(720)]
        count += len(record(new_detector(), responses)[0]) > 0

    assert count <= 1


@pytest.mark.parametrize("hosts", [0, 1, 2])
def test_a_third_of_a_small_service_is_no_host(hosts):
    """Ejecting one of two hosts would be more than the allowed third."""
    changes, _ = record(new_detector(hosts), "xxxxxx")

    assert changes
    assert all(isinstance(change, OutliersCommon) for change in changes)


def test_the_share_of_new_flows_grows_with_good_responses():
    """A host that gets its full share at once would fail many flows again."""
    detector, now = ejected()
    shares = []
    for _ in range(5):
        _, now = record(detector, "....", begin=now)
        taken = 0
        for _ in range(100):
            if admits(detector, now=now):
                detector.record_taken(now=now)
                taken += 1
        shares.append(taken)

    assert shares == sorted(shares)
    assert shares[0] < 15
    assert shares[-1] == 100
    assert detector.ejected_at is None


def test_a_failure_on_the_way_back_takes_the_share_away():
    detector, now = ejected()
    _, now = record(detector, "." * 10 + "xx", begin=now)

    assert sum(admits(detector, now=now) for _ in range(20)) == 0


def test_a_host_that_fails_again_needs_more_good_responses():
    """A host that goes bad each second would else get full load in good phases."""
    detector, now = ejected()
    needed = []
    for _ in range(3):
        count = 0
        while detector.ejected_at is not None:
            _, now = record(detector, ".", begin=now)
            count += 1
        needed.append(count)
        record(detector, "xx", begin=now)

    assert needed[0] < needed[1] < needed[2]


def test_an_ejected_host_without_traffic_is_probed_and_returns():
    detector, now = ejected()

    assert not admits(detector, now=now + PROBE_SECONDS / 2)
    assert admits(detector, now=now + PROBE_SECONDS)
    detector.record_taken(now=now + PROBE_SECONDS)
    assert not admits(detector, now=now + PROBE_SECONDS + 0.01)
    later = now + 30.0
    change = detector.record_opening(hops=0, has_willing=False, now=later)
    assert isinstance(change, OutlierReturned)
    assert not detector.is_ejected(now=later)


def test_a_late_answer_takes_its_failure_back():
    """A host that is only slow must not be taken for a failing one."""
    detector = new_detector()
    for _ in range(10):
        assert record(detector, "x")[0] == []
        detector.withdraw_failure(now=0.1)


def test_the_failures_of_many_hosts_count_as_usual():
    """Packets that other agents passed on show that they are unwilling, too."""
    detector, now = ejected()
    changes = []
    for hops in (0, 1, 2, 1, 0, 1):
        change = detector.record_opening(hops=hops, has_willing=False, now=now)
        changes.append(change)

    assert any(isinstance(change, OutliersCommon) for change in changes)
    assert record(detector, "x.x..x.x..", begin=now)[0] == []


def test_packets_of_busy_agents_are_no_sign_of_unwilling_ones():
    detector, now = ejected()

    for hops in (1, 2, 3, 1, 2, 3):
        detector.record_opening(hops=hops, has_willing=True, now=now)

    assert detector.is_ejected(now=now)


def test_a_host_that_still_fails_after_its_peers_have_recovered_is_ejected():
    detector, now = ejected()
    for hops in (1, 2, 3):
        detector.record_opening(hops=hops, has_willing=False, now=now)
    assert not detector.is_ejected(now=now)
    seconds = 0.0
    while not detector.is_ejected(now=now) and seconds < 60.0:
        detector.record_opening(hops=0, has_willing=False, now=now)
        _, now = record(detector, "x..x.", begin=now)
        seconds += 5 * INTERVAL

    assert seconds < 30.0


@pytest.mark.parametrize(
    ("hops", "best_load", "taken"),
    [(0, None, False), (1, None, False), (2, None, True), (1, 2, False), (1, 3, True)],
)
def test_an_ejected_host_takes_flows_that_no_other_runs_well(hops, best_load, taken):
    """Otherwise it stands idle while the others' queues grow."""
    detector, now = ejected()

    assert admits(detector, hops=hops, best_load=best_load, now=now) == taken


def test_a_failing_host_takes_no_flow_of_another_service():
    """The flow's own service may still answer it."""
    own = AskedAgent(agent=b"a", load=0, slots=2, reluctance=OpeningReason.FAILING)

    decision = decide_visit(
        own=own, candidates=(b"a", b"b"), tried=(), hops=0, home=b"h"
    )

    assert decision == PassOpening(
        target=b"b", reason=OpeningReason.FAILING, tried=(b"a",)
    )


@settings(max_examples=200)
@given(
    hosts=st.lists(
        st.tuples(st.lists(st.booleans(), max_size=30), st.integers(0, 5)),
        min_size=1,
        max_size=16,
    ),
    hops_seen=st.lists(st.integers(0, 4), max_size=8),
)
def test_a_flow_is_taken_whatever_the_failures(hosts, hops_seen):
    """A service with at least one host takes every flow."""
    names = [bytes([n]) for n in range(len(hosts))]
    agents = {}
    for name, (responses, load) in zip(names, hosts, strict=True):
        detector = new_detector(len(hosts))
        for number, failed in enumerate(responses):
            detector.record_response(failed=failed, now=number * INTERVAL)
        for hops in hops_seen:
            detector.record_opening(hops=hops, has_willing=False, now=3.0)
        agents[name] = (detector, load)
    name, tried, best, final = names[0], (), None, False
    for hops in range(len(names) + 6):
        detector, load = agents[name]
        is_willing = admits(detector, hops=hops, best_load=best and best.load, now=3.0)
        own = AskedAgent(
            agent=name, load=load, slots=1,
            reluctance=None if is_willing else OpeningReason.FAILING,
        )  # fmt: skip
        decision = decide_opening(
            own=own, candidates=names, tried=tried, hops=hops, best=best, final=final
        )
        if decision == TakeOpening():
            return
        assert isinstance(decision, PassOpening)
        if is_willing and (best is None or load < best.load):
            best = BusyAgent(agent=name, load=load)
        name, tried, final = decision.target, decision.tried, decision.final
    pytest.fail("the packet was still passed on")


# The load of the module's description, with the decisions of all agents.


def play(*faults, ejects=True, seconds=14.0, **options):
    return [
        OutlierModel(seed=seed, faults=faults, ejects=ejects, **options).run(seconds)
        for seed in SEEDS
    ]


def mean(models, measure, *kinds, **span):
    return statistics.mean(getattr(model, measure)(*kinds, **span) for model in models)


@pytest.mark.parametrize(("share", "utilization"), [(0.35, 0.6), (0.45, 0.8)])
def test_callers_lose_far_fewer_requests_to_failing_hosts(share, utilization):
    """Requests that may not be repeated are lost when a failing host gets them."""
    fault = Fault(range(GREY_HOSTS), share=share)
    before = play(fault, ejects=False, utilization=utilization)
    after = play(fault, utilization=utilization)

    for kind in ("confirmation", "read"):
        assert mean(after, "failed", kind) < 0.5 * mean(before, "failed", kind)
        assert mean(after, "in_time", kind) > mean(before, "in_time", kind) - 0.01
    assert sum(model.refused for model in after) == 0


def test_callers_lose_no_more_requests_to_mute_hosts():
    """Unanswered requests already keep most flows away: they occupy the slot."""
    fault = Fault(range(GREY_HOSTS), way="mute")
    before, after = play(fault, ejects=False), play(fault)

    kinds = ("confirmation", "read")
    assert mean(after, "failed", *kinds) < mean(before, "failed", *kinds)
    assert mean(after, "in_time", *kinds) > mean(before, "in_time", *kinds)


@pytest.mark.parametrize("utilization", [0.6, 0.8])
def test_flows_are_spread_as_before_when_all_hosts_fail_alike(utilization):
    fault = Fault(range(50))
    before = play(fault, ejects=False, utilization=utilization)
    after = play(fault, utilization=utilization)

    kinds = ("confirmation", "read")
    assert mean(after, "in_time", *kinds) > mean(before, "in_time", *kinds) - 0.05
    for model, old in zip(after, before, strict=True):
        assert model.refused == 0
        assert busiest(model) < 1.25 * busiest(old)


def busiest(model):
    """Return the most flows that a host took in the seconds of the fault."""
    return max(
        sum(model.count_taken(host, second) for second in range(3, 9))
        for host in range(50)
    )


def test_failing_hosts_return_within_seconds_after_they_recover():
    models = play(Fault(range(GREY_HOSTS)), seconds=15.0)

    for model in models:
        taken = sum(
            model.count_taken(host, second)
            for host in range(GREY_HOSTS)
            for second in (12, 13)
        )
        assert taken > 0.7 * GREY_HOSTS * 2 * 10.8


def test_flapping_hosts_get_no_full_load_in_their_good_phases():
    """Hosts that fail everything for 1.2 s, and nothing for 1.2 s."""
    fault = Fault(range(GREY_HOSTS), share=1.0, period=1.2, end=13.0)
    before, after = play(fault, ejects=False), play(fault)

    kinds, span = ("confirmation", "read"), {"begin": 3.0, "end": 13.0}
    assert mean(after, "failed", *kinds, **span) < 0.3 * mean(
        before, "failed", *kinds, **span
    )
    for model in after:
        for second in range(4, 13):
            taken = sum(model.count_taken(host, second) for host in range(GREY_HOSTS))
            assert taken < 0.7 * GREY_HOSTS * 10.8


def test_a_restarted_agent_finds_its_failing_host_again():
    model = OutlierModel(seed=1, faults=(Fault(range(GREY_HOSTS)),))
    for number in range(GREY_HOSTS):
        model.at(5.0, model.restart_agent, model.hosts[number])
    model.run(9.0)

    again = {number for at, number in model.ejections if 5.0 < at < 7.5}
    assert set(range(GREY_HOSTS)) <= again


def test_slow_requests_without_failures_change_nothing():
    """One request in 3,000 is overdue, which its late answer takes back."""
    before, after = play(ejects=False), play()

    for old, new in zip(before, after, strict=True):
        assert len(new.ejections) <= 1
        assert abs(new.in_time("read") - old.in_time("read")) < 0.005
