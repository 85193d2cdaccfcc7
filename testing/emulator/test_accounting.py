import pytest

from daisygauge_emulator._accounting import Record, reconcile
from daisygauge_emulator._ledger import Run
from daisygauge_emulator.caller import Answered, Defect, NotRun, Request, Unknown

ENTRY = Request(path="/run", method="POST", request_id="r1", idempotency_key="k1")
RIGHT = Answered(status=200, headers={})


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


def test_an_answer_with_one_run_is_truthful_and_complete():
    account = reconcile([record(RIGHT)], [run()])

    assert account.consistent
    assert account.complete
    assert account.answered_whole == 1


@pytest.mark.parametrize(
    ("outcome", "runs", "finding"),
    [
        (RIGHT, [run(), run(number=1)], "duplicate_runs"),
        (RIGHT, [], "unfounded_answers"),
        (RIGHT, [run(), run(service="pattern-library")], "misdelivered"),
        (NotRun(reason="full"), [run()], "false_not_run"),
    ],
)
def test_outcomes_that_ledgers_contradict_are_found(outcome, runs, finding):
    account = reconcile([record(outcome)], runs)

    assert getattr(account, finding) == 1
    assert not account.consistent


def test_an_answer_of_another_service_is_misdelivered():
    foreign = Answered(
        status=200, headers={}, defects=frozenset({Defect.WRONG_SERVICE})
    )

    account = reconcile([record(foreign)], [run()])

    assert account.misdelivered == 1
    assert not account.complete


def test_an_unknown_outcome_may_have_run_or_not():
    account = reconcile([record(Unknown(reason="deadline passed"))], [])

    assert account.consistent
    assert account.complete
