"""Reconciles the outcomes that callers received with the runs of the upstreams."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import define, field, frozen

from ._ledger import Run
from .caller import Answered, Defect, NotRun, Outcome, Request, Unknown

HTTP_OK = 200
RUN_PATH = "/run"
_MISDELIVERY_DEFECTS = frozenset({Defect.WRONG_SERVICE, Defect.WRONG_REQUEST})


@frozen(kw_only=True)
class Record:
    """A request that a caller sent and its outcome.

    :param caller: name of the caller, used in messages.
    :param started: Unix time in seconds.
    :param ended: Unix time in seconds.
    """

    service: str
    caller: str = ""
    request: Request
    outcome: Outcome
    started: float
    ended: float

    @property
    def answered_whole(self) -> bool:
        """Whether the answer arrived completely, with status 200 and no defect."""
        match self.outcome:
            case Answered(status=status, defects=defects):
                return status == HTTP_OK and not defects
        return False


@define(kw_only=True)
class Reconciliation:
    """Counts of outcomes and of contradictions between outcomes and ledgers.

    :param answered_whole: complete answers with status 200 and no defect.
    :param not_run: requests whose outcome is ``NotRun``.
    :param other_answers: complete answers with another status or a defect.
    :param misdelivered: answers and runs of another service or request.
    :param duplicate_runs: second and later runs of one idempotency key.
    :param false_not_run: requests that ran although their outcome is ``NotRun``.
    :param unfounded_answers: complete answers without a finished run in any ledger.
    :param repeated_lookups: second and later runs of requests without a key.
    :param notes: descriptions of the problems found.
    """

    requests: int = 0
    answered_whole: int = 0
    not_run: int = 0
    unknown: int = 0
    other_answers: int = 0
    misdelivered: int = 0
    duplicate_runs: int = 0
    false_not_run: int = 0
    unfounded_answers: int = 0
    repeated_lookups: int = 0
    notes: list[str] = field(factory=list)

    @property
    def complete(self) -> bool:
        """Whether every request was answered correctly, did not run or is unknown."""
        return self.requests == self.answered_whole + self.not_run + self.unknown

    @property
    def consistent(self) -> bool:
        """Whether no outcome contradicts the ledgers."""
        return not (
            self.misdelivered
            or self.duplicate_runs
            or self.false_not_run
            or self.unfounded_answers
        )

    def record_problem(self, record: Record, problem: str) -> None:
        """Add a description of a problem with one request to the notes."""
        request = record.request
        self.notes.append(
            f"{problem}: {record.service} {record.caller} "
            f"{request.method} {request.path} {request.request_id} {record.outcome} "
            f"after {record.ended - record.started:.1f} s"
        )


def reconcile(records: Iterable[Record], runs: Iterable[Run]) -> Reconciliation:
    """Check every outcome against the ledgers of all upstreams.

    :param runs: runs of all upstreams, including stopped ones.
    """
    reconciliation = Reconciliation()
    runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_request[run.request_id].append(run)
    for record in records:
        reconciliation.requests += 1
        _count_outcome(reconciliation, record)
        _check_runs(reconciliation, record, runs_by_request[record.request.request_id])
    _check_keys(reconciliation, runs_by_request)
    return reconciliation


def _count_outcome(reconciliation: Reconciliation, record: Record) -> None:
    match record.outcome:
        case NotRun():
            reconciliation.not_run += 1
        case Unknown():
            reconciliation.unknown += 1
            reconciliation.record_problem(record, "unknown")
        case Answered(defects=defects):
            if record.answered_whole:
                reconciliation.answered_whole += 1
                return
            reconciliation.other_answers += 1
            reconciliation.misdelivered += bool(defects & _MISDELIVERY_DEFECTS)
            reconciliation.record_problem(record, "unexpected answer")


def _check_runs(
    reconciliation: Reconciliation, record: Record, runs: list[Run]
) -> None:
    foreign = [run for run in runs if run.service != record.service]
    reconciliation.misdelivered += len(foreign)
    for run in foreign:
        reconciliation.record_problem(record, f"run by {run.upstream}")
    if isinstance(record.outcome, NotRun) and runs:
        reconciliation.false_not_run += 1
        reconciliation.record_problem(record, "ran although refused")
    if not record.request.path.startswith(RUN_PATH):
        return
    done = [run for run in runs if run.outcome == "done"]
    if record.answered_whole and not done:
        reconciliation.unfounded_answers += 1
        reconciliation.record_problem(record, "answered without a run")
    if len(runs) > 1 and record.request.idempotency_key is None:
        reconciliation.repeated_lookups += len(runs) - 1


def _check_keys(
    reconciliation: Reconciliation, runs_by_request: dict[str, list[Run]]
) -> None:
    keys = Counter(
        (run.service, run.idempotency_key)
        for runs in runs_by_request.values()
        for run in runs
        if run.idempotency_key
    )
    for (service, key), count in keys.items():
        if count > 1:
            reconciliation.duplicate_runs += count - 1
            reconciliation.notes.append(f"{service} ran the key {key} {count} times")
