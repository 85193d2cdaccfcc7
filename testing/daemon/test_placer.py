import pytest
from attrs import evolve

from daisygauge_daemon._balancer._metrics import BalancerCounts
from daisygauge_daemon._balancer._pending import ANSWER_TIMEOUT_SECONDS
from daisygauge_daemon._balancer._placer import Placer
from daisygauge_daemon._events import EventLog
from daisygauge_records import Endpoint, Instance, Role
from daisygauge_wire import Kind, LoadReport, PlacementStatus

from .datapath import NOW, first_flight, make_service, make_upstream, make_view

SERVICE = make_service()
HOSTS = tuple(make_upstream(number) for number in range(4))
CALLER = ("127.40.4.1", 5555)
LOCAL = Endpoint(host="127.40.1.1", port=7000)
IDLE = LoadReport(
    slots=2,
    running=0,
    waiting=0,
    connections=0,
    max_connections=100,
    service_seconds=0.1,
    leaving=False,
    ready=True,
    sequence=1,
)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def placer(sent):
    placer = Placer(
        send=lambda datagram, receiver: sent.append((datagram, receiver)),
        sender=LOCAL,
        counts=BalancerCounts(),
        log=EventLog(),
    )
    placer.apply_view(make_view(SERVICE, upstreams=HOSTS), now=NOW)
    return placer


def place(placer, destination_id=b"callerid", *, now=0.0):
    placer.place(
        first_flight(destination_id),
        service=SERVICE,
        destination_id=destination_id,
        caller=CALLER,
        now=now,
    )


def answer(placer, sent, status, *, now=0.0):
    offer, agent = sent[-1]
    reply = evolve(offer, kind=Kind.PLACEMENT, status=status, payload=b"callerid")
    placer.handle_answer(reply, agent=agent, now=now, time_now=NOW + now)


def test_every_packet_of_a_first_flight_goes_to_one_agent(placer, sent):
    place(placer)
    place(placer)

    (first, agent), (second, other) = sent
    assert agent == other
    assert first.candidates == second.candidates
    assert len(first.candidates) == SERVICE.placement.candidates - 1
    assert (first.service, first.caller.host) == (SERVICE.number, CALLER[0])


@pytest.mark.parametrize(
    "status",
    [PlacementStatus.ACCEPTED, PlacementStatus.PASSED_ON, PlacementStatus.IGNORED],
)
def test_a_flight_with_a_final_answer_is_removed(placer, sent, status):
    place(placer)

    answer(placer, sent, status)
    placer.expire(now=ANSWER_TIMEOUT_SECONDS, time_now=NOW)

    assert len(placer.pending) == 0
    assert len(sent) == 1


def test_an_unanswered_flow_goes_to_the_next_candidate(placer, sent):
    place(placer)
    place(placer)

    placer.expire(now=ANSWER_TIMEOUT_SECONDS, time_now=NOW)

    offers = [(offer.payload, agent) for offer, agent in sent]
    assert len(offers) == 4
    assert offers[2][0] == offers[0][0]
    assert offers[2][1] == sent[0][0].candidates[0]


@pytest.mark.parametrize(
    "status",
    [PlacementStatus.LEAVING, PlacementStatus.FULL, PlacementStatus.WRONG_INCARNATION],
)
def test_a_refused_flow_goes_to_the_next_candidate_at_once(placer, sent, status):
    place(placer)

    answer(placer, sent, status)

    assert sent[1][1] == sent[0][0].candidates[0]


def test_an_answer_of_an_earlier_candidate_does_not_move_the_flow_again(placer, sent):
    place(placer)
    first_offer, first_agent = sent[0]
    placer.expire(now=ANSWER_TIMEOUT_SECONDS, time_now=NOW)

    late = evolve(
        first_offer,
        kind=Kind.PLACEMENT,
        status=PlacementStatus.FULL,
        payload=b"callerid",
    )
    placer.handle_answer(late, agent=first_agent, now=0.4, time_now=NOW)

    assert len(sent) == 2


def test_a_flow_that_no_candidate_accepts_is_dropped(placer, sent):
    place(placer)

    for _ in range(SERVICE.placement.candidates):
        answer(placer, sent, PlacementStatus.FULL)

    assert len(sent) == SERVICE.placement.candidates
    assert placer.counts.placements["unplaced"] == 1


def test_a_host_that_does_not_answer_gets_no_new_flows(placer, sent):
    for number in range(200):
        place(placer, b"caller%02x" % number)
    silent = sent[0][1]
    for offer, agent in tuple(sent):
        if agent != silent:
            reply = evolve(
                offer,
                kind=Kind.PLACEMENT,
                status=PlacementStatus.ACCEPTED,
                payload=offer.payload[6:14],
            )
            placer.handle_answer(reply, agent=agent, now=0.1, time_now=NOW)

    placer.expire(now=ANSWER_TIMEOUT_SECONDS, time_now=NOW)
    placer.refresh_tables(now=NOW)
    sent.clear()
    for number in range(200):
        place(placer, b"second%02x" % number, now=1.0)

    assert silent not in {agent for _, agent in sent}
    assert placer.counts.suspects == 1


def test_a_pause_of_the_process_makes_no_host_suspect(placer, sent):
    place(placer)

    placer.drop_pending(late_seconds=5.0)
    placer.expire(now=10.0, time_now=NOW)

    assert len(sent) == 1
    assert placer.hosts.suspects.suspicions == {}


def test_the_number_of_kept_first_flights_is_bounded(placer, sent):
    placer.pending.max_flights = 10

    for number in range(20):
        place(placer, b"caller%02x" % number)

    assert len(placer.pending) == 10
    assert len(sent) == 20


def hosts_offered(placer, sent):
    sent.clear()
    placer.pending.clear()
    for number in range(200):
        place(placer, b"caller%02x" % number, now=1.0)
    return {agent for _, agent in sent}


def test_a_host_that_reports_to_be_leaving_gets_no_new_flows(placer, sent):
    host = HOSTS[2]
    placer.hosts.record_load_report(
        host.id, incarnation=1, report=evolve(IDLE, leaving=True), now=NOW
    )

    placer.refresh_tables(now=NOW + 60.0)

    assert host.agent not in hosts_offered(placer, sent)


def test_a_leaving_host_of_the_instance_list_gets_no_new_flows(placer, sent):
    host = HOSTS[1]
    leaving = Instance(
        id=host.id,
        role=Role.AGENT,
        inner=host.agent,
        peer_port=1,
        region="erongo",
        failure_domain="erongo-1",
        leaving=True,
    )
    view = make_view(SERVICE, upstreams=HOSTS, version=2, instances={host.id: leaving})

    placer.apply_view(view, now=NOW)

    assert host.agent not in hosts_offered(placer, sent)


def test_hosts_that_are_not_ready_serve_when_none_is(placer, sent):
    for host in HOSTS:
        placer.hosts.record_load_report(
            host.id, incarnation=1, report=evolve(IDLE, ready=False), now=NOW
        )

    placer.refresh_tables(now=NOW)

    assert hosts_offered(placer, sent) == {host.agent for host in HOSTS}


def test_a_service_without_hosts_drops_and_counts(placer, sent):
    placer.apply_view(make_view(SERVICE, version=2), now=NOW)

    place(placer)

    assert sent == []
    assert placer.counts.drops["no-candidates"] == 1


def test_a_change_of_one_service_rebuilds_no_other_table(placer, sent):
    other = make_service(number=2, port=4434, name="pattern-library")
    more = make_upstream(9)
    placer.apply_view(make_view(SERVICE, other, upstreams=HOSTS, version=2), now=NOW)
    kept = placer.tables[other.id]

    placer.apply_view(
        make_view(SERVICE, other, upstreams=(*HOSTS, more), version=3), now=NOW
    )
    placer.refresh_tables(now=NOW)

    assert placer.tables[other.id] is kept
    assert more in placer.tables[SERVICE.id].eligible.hosts


def test_slow_start_ends_without_another_configuration(placer, sent):
    cold = make_upstream(9)
    placer.apply_view(make_view(SERVICE, upstreams=(*HOSTS, cold), version=2), now=NOW)
    first = placer.tables[SERVICE.id].eligible.shares

    placer.refresh_tables(now=NOW + SERVICE.placement.ramp_seconds)

    assert first[cold.id] < 1.0
    assert placer.tables[SERVICE.id].eligible.shares == {}


def test_a_suspect_host_gets_new_flows_after_its_back_off(placer, sent):
    host = HOSTS[0]
    for _ in range(2):
        placer.hosts.suspects.report_silence(host.id, now=NOW)
    placer.refresh_tables(now=NOW)
    during = hosts_offered(placer, sent)

    placer.refresh_tables(now=NOW + 60.0)

    assert host.agent not in during
    assert host.agent in hosts_offered(placer, sent)
