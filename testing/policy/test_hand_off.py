import collections
import random

from attrs import evolve
from hypothesis import given, strategies as st

from daisygauge_policy import (
    HandToPeer,
    KeepRequest,
    PeerLoad,
    PeerLoadReport,
    SentRequests,
    choose_peer,
)
from daisygauge_records import LoadHandOff, NoHandOff
from daisygauge_wire import LoadReport

REPORT = LoadReport(
    slots=2,
    running=2,
    waiting=0,
    connections=100,
    max_connections=2_000,
    service_seconds=0.1,
    leaving=False,
    ready=True,
    sequence=1,
)
IDLE = evolve(REPORT, running=0)


def choose(own, *reports, unreported=0, hand_off=None, seed=1):
    peers = [
        PeerLoad(peer=f"host-{number}", report=report, unreported=unreported)
        for number, report in enumerate(reports)
    ]
    return choose_peer(
        hand_off=hand_off or LoadHandOff(margin=0.5),
        own=own,
        peers=peers,
        rng=random.Random(seed),
    )


def test_a_request_that_would_wait_goes_to_an_idle_peer():
    decision = choose(evolve(REPORT, waiting=2), IDLE)

    assert isinstance(decision, HandToPeer)
    assert decision.peer == "host-0"


def test_a_request_stays_at_an_idle_host():
    assert choose(IDLE, IDLE, IDLE) == KeepRequest()


def test_a_request_stays_when_the_peer_is_better_by_less_than_the_margin():
    own = evolve(REPORT, waiting=1)

    assert choose(own, REPORT, hand_off=LoadHandOff(margin=0.5)) == KeepRequest()


def test_a_slow_host_hands_off_even_with_a_free_slot():
    own = evolve(IDLE, service_seconds=0.5)

    assert isinstance(choose(own, IDLE), HandToPeer)


def test_requests_under_way_count_as_the_peers_load():
    own = evolve(REPORT, waiting=2)

    assert choose(own, IDLE, unreported=8) == KeepRequest()


def test_a_leaving_host_hands_off_to_a_busier_peer():
    own = evolve(IDLE, leaving=True)

    assert isinstance(choose(own, REPORT), HandToPeer)


def test_without_hand_off_requests_stay():
    own = evolve(REPORT, waiting=50)

    assert choose(own, IDLE, hand_off=NoHandOff()) == KeepRequest()


reports_strategy = st.builds(
    lambda running, waiting, seconds, leaving, ready, recent: evolve(
        REPORT,
        recent_completions=recent,
        running=running,
        waiting=waiting,
        service_seconds=seconds,
        leaving=leaving,
        ready=ready,
    ),
    st.integers(0, 4),
    st.integers(0, 64),
    st.floats(0.001, 5.0),
    st.booleans(),
    st.booleans(),
    st.floats(0.0, 200.0),
)


@given(own=reports_strategy, peers=st.lists(reports_strategy, max_size=8))
def test_requests_never_go_to_a_leaving_or_unready_peer(own, peers):
    decision = choose(own, *peers)

    if isinstance(decision, HandToPeer):
        report = peers[int(decision.peer.removeprefix("host-"))]
        assert report.ready and not report.leaving
        assert decision.gain_seconds > 0.0


@given(one=reports_strategy, other=reports_strategy)
def test_two_serving_hosts_never_exchange_requests(one, other):
    one = evolve(one, leaving=False, ready=True)
    other = evolve(other, leaving=False, ready=True)

    decisions = {type(choose(one, other)), type(choose(other, one))}

    assert decisions != {HandToPeer}


def test_a_host_that_did_more_than_its_share_hands_off_to_an_idle_peer():
    own = evolve(IDLE, recent_completions=60.0)
    busy, idler = (
        evolve(REPORT, recent_completions=40.0),
        evolve(IDLE, recent_completions=42.0),
    )

    assert choose(own, busy, idler).peer == "host-1"


def test_a_host_keeps_requests_when_the_peers_did_nearly_as_much():
    assert (
        choose(
            evolve(IDLE, recent_completions=51.0), evolve(IDLE, recent_completions=49.0)
        )
        == KeepRequest()
    )


def test_a_slow_peer_gets_no_requests_for_having_done_less():
    own = evolve(IDLE, recent_completions=60.0)

    assert (
        choose(own, evolve(IDLE, recent_completions=5.0, service_seconds=0.5))
        == KeepRequest()
    )


def test_agents_with_the_same_load_reports_do_not_all_choose_one_peer():
    own = evolve(REPORT, waiting=10)
    peers = [IDLE] * 6

    chosen = collections.Counter(
        choose(own, *peers, seed=seed).peer for seed in range(300)
    )

    assert len(chosen) == 6


def test_sent_requests_count_until_a_later_load_report():
    sent = SentRequests()
    sent.add("a", now=10.00)
    sent.add("a", now=10.10)
    report = PeerLoadReport(peer="a", incarnation=1, report=IDLE, received_at=10.05)

    assert sent.loads([report])[0].unreported == 1
    assert sent.loads([report])[0].sent == 1
    assert sent.loads([evolve(report, received_at=10.2)])[0].unreported == 0


def test_a_request_that_ended_since_the_load_report_is_subtracted():
    sent = SentRequests()
    before = sent.add("a", now=10.00)
    after = sent.add("a", now=10.10)
    report = PeerLoadReport(peer="a", incarnation=1, report=IDLE, received_at=10.05)

    sent.end(before, now=10.15)
    assert sent.loads([report])[0].unreported == 0
    sent.end(after, now=10.16)

    assert sent.loads([report])[0].unreported == -1
    assert sent.loads([evolve(report, received_at=10.2)])[0].unreported == 0
