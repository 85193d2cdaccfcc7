from attrs import evolve
from hypothesis import given, strategies as st

from daisygauge_policy import (
    AcceptFlight,
    FlightReason,
    PassedFlights,
    PassFlight,
    RefuseFlight,
    decide_first_flight,
)
from daisygauge_records import Endpoint, RendezvousPlacement, RoundRobinPlacement
from daisygauge_wire import MAX_HOPS, LoadReport

REPORT = LoadReport(
    slots=2,
    running=0,
    waiting=0,
    connections=100,
    max_connections=2_000,
    service_seconds=0.1,
    leaving=False,
    ready=True,
    sequence=1,
)
ONE, TWO, THREE = (Endpoint(host="127.30.0.1", port=port) for port in (1, 2, 3))


def decide(own, *, reports, candidates=(ONE, TWO), hops=0, placement=None):
    return decide_first_flight(
        placement=placement or RendezvousPlacement(pass_margin=0.15),
        own=own,
        candidates=candidates,
        reports=reports,
        hops=hops,
    )


def test_a_flight_stays_within_the_margin():
    own = evolve(REPORT, connections=115)

    assert decide(own, reports={ONE: REPORT, TWO: REPORT}) == AcceptFlight()


def test_a_flight_goes_to_the_emptiest_candidate_above_the_margin():
    own = evolve(REPORT, connections=140)
    reports = {ONE: REPORT, TWO: evolve(REPORT, connections=90)}

    assert decide(own, reports=reports, candidates=(ONE, TWO, THREE)) == PassFlight(
        target=TWO, candidates=(ONE, THREE), reason=FlightReason.LESS_LOADED
    )


def test_an_agent_with_few_connections_never_passes():
    own = evolve(REPORT, connections=4)

    assert decide(own, reports={ONE: evolve(REPORT, connections=0)}) == AcceptFlight()


def test_only_rendezvous_placement_passes_for_load():
    own = evolve(REPORT, connections=1_000)
    reports = {ONE: REPORT}

    for placement in (RoundRobinPlacement(), RendezvousPlacement(pass_margin=None)):
        assert decide(own, reports=reports, placement=placement) == AcceptFlight()


def test_a_leaving_agent_passes_to_a_candidate_without_a_load_report():
    own = evolve(REPORT, leaving=True)

    decision = decide(own, reports={ONE: evolve(REPORT, leaving=True)})

    assert decision == PassFlight(
        target=TWO, candidates=(ONE,), reason=FlightReason.LEAVING
    )


def test_a_leaving_or_full_agent_refuses_at_the_hop_limit():
    leaving = evolve(REPORT, leaving=True)
    full = evolve(REPORT, connections=2_000)

    assert decide(leaving, reports={}, hops=MAX_HOPS) == RefuseFlight(
        reason=FlightReason.LEAVING
    )
    assert decide(full, reports={}, candidates=()) == RefuseFlight(
        reason=FlightReason.FULL
    )


def test_an_agent_that_is_not_ready_accepts_without_other_candidates():
    assert decide(evolve(REPORT, ready=False), reports={}, candidates=()) == (
        AcceptFlight()
    )


reports_strategy = st.builds(
    lambda connections, leaving, ready: evolve(
        REPORT, connections=connections, leaving=leaving, ready=ready
    ),
    st.integers(0, 2_000),
    st.booleans(),
    st.booleans(),
)


@given(
    own=reports_strategy,
    reports=st.dictionaries(st.sampled_from([ONE, TWO, THREE]), reports_strategy),
    hops=st.integers(0, 3),
)
def test_flights_never_go_to_an_unable_agent_or_beyond_the_hop_limit(
    own, reports, hops
):
    decision = decide(own, reports=reports, candidates=(ONE, TWO, THREE), hops=hops)

    if isinstance(decision, PassFlight):
        assert hops < MAX_HOPS
        target = reports.get(decision.target, REPORT)
        assert target.ready and not target.leaving
        assert decision.target not in decision.candidates


@given(one=reports_strategy, other=reports_strategy)
def test_two_agents_never_pass_to_each_other_for_load(one, other):
    there = decide(one, reports={TWO: other}, candidates=(TWO,))
    back = decide(other, reports={ONE: one}, candidates=(ONE,))

    reasons = [getattr(decision, "reason", None) for decision in (there, back)]
    assert reasons != [FlightReason.LESS_LOADED] * 2


def test_later_packets_follow_a_passed_flight_for_some_seconds():
    passed = PassedFlights()
    decision = PassFlight(target=ONE, candidates=(), reason=FlightReason.FULL)

    passed.record(b"flow", decision=decision, now=10.0)

    assert passed.find(b"flow", now=14.0) == decision
    assert passed.find(b"flow", now=16.0) is None
    assert passed.find(b"other", now=10.0) is None
