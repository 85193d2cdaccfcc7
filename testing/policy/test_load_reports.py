from hypothesis import given, strategies as st

from daisygauge_policy import PeerLoadReports
from daisygauge_wire import LoadReport


def make_report(sequence, running=0):
    return LoadReport(
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
def test_the_newest_load_report_wins_in_any_order(arrivals):
    reports = PeerLoadReports()

    for incarnation, sequence in arrivals:
        reports.update(
            "a", incarnation=incarnation, report=make_report(sequence), now=1.0
        )

    held = reports.reports["a"]
    assert (held.incarnation, held.report.sequence) == (3, 3)


def test_a_repeated_load_report_keeps_its_age():
    reports = PeerLoadReports()
    reports.update("a", incarnation=1, report=make_report(5), now=1.0)

    is_stored = reports.update("a", incarnation=1, report=make_report(5), now=9.0)

    assert not is_stored
    assert reports.reports["a"].age_seconds(now=9.0) == 8.0


def test_old_load_reports_are_not_fresh():
    reports = PeerLoadReports()
    reports.update("a", incarnation=1, report=make_report(1), now=1.0)
    reports.update("b", incarnation=1, report=make_report(1), now=2.0)

    assert [held.peer for held in reports.fresh(now=2.5)] == ["b"]


def test_unpublished_peers_are_dropped():
    reports = PeerLoadReports()
    reports.update("a", incarnation=1, report=make_report(1), now=1.0)

    reports.retain(frozenset({"b"}))

    assert reports.reports == {}
