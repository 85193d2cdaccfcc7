import pytest

from daisygauge_emulator._accounting import Record, reconcile
from daisygauge_emulator._ledger import Run
from daisygauge_emulator.caller import Answered, Defect, NotRun, Request, Unknown

ENTRY = Request(path="/run", method="POST", request_id="r1", idempotency_key="k1")
CORRECT_ANSWER = Answered(status=200, headers={})


def record(outcome):
    return Record(
        service="order-desk", request=ENTRY, outcome=outcome, started=0.0, ended=1.0
    )


def run(*, service="order-desk", number=0):
    return Run(
        number=number,
        request_id="r1",
        idempotency_key="k1",
        service=service,
        upstream=f"host-{number}",
        started=0.0,
        ended=1.0,
        outcome="done",
    )


def test_an_answer_with_one_run_is_consistent_and_complete():
    reconciliation = reconcile([record(CORRECT_ANSWER)], [run()])

    assert reconciliation.consistent
    assert reconciliation.complete
    assert reconciliation.answered_whole == 1


@pytest.mark.parametrize(
    ("outcome", "runs", "counter"),
    [
        (CORRECT_ANSWER, [run(), run(number=1)], "duplicate_runs"),
        (CORRECT_ANSWER, [], "unfounded_answers"),
        (CORRECT_ANSWER, [run(), run(service="pattern-library")], "misdelivered"),
        (NotRun(reason="full"), [run()], "false_not_run"),
    ],
)
def test_outcomes_that_contradict_the_ledgers_are_counted(outcome, runs, counter):
    reconciliation = reconcile([record(outcome)], runs)

    assert getattr(reconciliation, counter) == 1
    assert not reconciliation.consistent


def test_an_answer_of_another_service_is_misdelivered():
    foreign = Answered(
        status=200, headers={}, defects=frozenset({Defect.WRONG_SERVICE})
    )

    reconciliation = reconcile([record(foreign)], [run()])

    assert reconciliation.misdelivered == 1
    assert not reconciliation.complete


def test_an_unknown_outcome_may_have_run_or_not():
    reconciliation = reconcile([record(Unknown(reason="deadline passed"))], [])

    assert reconciliation.consistent
    assert reconciliation.complete
