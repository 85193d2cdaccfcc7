from daisygauge_ctl._status import format_text, has_converged
from daisygauge_wire.control_pb2 import (
    DomainStatus,
    MemberStatus,
    Refusal,
    Report,
    StatusAnswer,
)


def make_member(id, *, role="balancer", revision=7, behind=0.0, ready=True, refused=()):
    report = Report(revision=revision, ready=ready, refused=refused)
    return MemberStatus(member=id, role=role, report=report, behind_seconds=behind)


def make_status(*members, unseen=()):
    domain = DomainStatus(
        failure_domain="erongo-1", seats=["b-1"], members=members, unseen=unseen
    )
    return StatusAnswer(domains=[domain])


def test_a_fleet_with_no_daemon_behind_has_converged():
    assert has_converged(
        make_status(make_member("b-1"), make_member("a-1", role="agent"))
    )


def test_a_daemon_that_is_behind_is_named():
    answer = make_status(
        make_member("b-1"), make_member("a-1", role="agent", behind=3.0)
    )

    assert not has_converged(answer)
    assert "behind: a-1 (agent), 3.0 s" in format_text(answer)


def test_a_daemon_that_is_not_ready_has_not_converged():
    assert not has_converged(make_status(make_member("b-1", ready=False)))


def test_a_listed_daemon_without_a_report_is_named():
    answer = make_status(make_member("b-1"), unseen=["a-9"])

    assert not has_converged(answer)
    assert "not heard of: a-9" in format_text(answer)


def test_the_lowest_revision_of_a_domain_counts_its_balancers_alone():
    answer = make_status(
        make_member("b-1", revision=9),
        make_member("b-2", revision=8),
        make_member("a-1", role="agent", revision=3),
    )

    assert "lowest revision sum of its balancers 8" in format_text(answer)


def test_a_refused_record_is_shown_with_its_reasons():
    refusal = Refusal(name="service/x", reasons=["spec.number: taken"])

    text = format_text(make_status(make_member("b-1", refused=[refusal])))

    assert "refused by b-1: service/x: spec.number: taken" in text
