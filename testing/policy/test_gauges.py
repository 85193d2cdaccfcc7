from hypothesis import given, strategies as st

from daisygauge_policy import PeerGauges
from daisygauge_wire import Gauge


def make_gauge(sequence, running=0):
    return Gauge(
        slots=2,
        running=running,
        waiting=0,
        connections=0,
        max_connections=2_000,
        service_seconds=0.1,
        leaving=False,
        ready=True,
        sequence=sequence,
    )


@given(st.permutations([(inc, seq) for inc in (1, 2, 3) for seq in (1, 2, 3)]))
def test_the_newest_gauge_wins_in_any_order(arrivals):
    gauges = PeerGauges()

    for incarnation, sequence in arrivals:
        gauges.update("a", incarnation=incarnation, gauge=make_gauge(sequence), now=1.0)

    held = gauges.gauges["a"]
    assert (held.incarnation, held.gauge.sequence) == (3, 3)


def test_a_repeated_gauge_does_not_look_younger():
    gauges = PeerGauges()
    gauges.update("a", incarnation=1, gauge=make_gauge(5), now=1.0)

    taken = gauges.update("a", incarnation=1, gauge=make_gauge(5), now=9.0)

    assert not taken
    assert gauges.gauges["a"].age_seconds(now=9.0) == 8.0


def test_old_gauges_are_not_decided_by():
    gauges = PeerGauges()
    gauges.update("a", incarnation=1, gauge=make_gauge(1), now=1.0)
    gauges.update("b", incarnation=1, gauge=make_gauge(1), now=2.0)

    assert [held.peer for held in gauges.fresh(now=2.5)] == ["b"]


def test_unpublished_peers_are_forgotten():
    gauges = PeerGauges()
    gauges.update("a", incarnation=1, gauge=make_gauge(1), now=1.0)

    gauges.retain(frozenset({"b"}))

    assert gauges.gauges == {}
