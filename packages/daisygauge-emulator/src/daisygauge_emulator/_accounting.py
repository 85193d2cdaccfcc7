"""Compares what callers were told with what upstreams really ran."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import define, field, frozen

from ._ledger import Run
from .caller import Answered, Defect, NotRun, Outcome, Request, Unknown

HTTP_OK = 200
RUN_PATH = "/run"
_FOREIGN = frozenset({Defect.WRONG_SERVICE, Defect.WRONG_REQUEST})


@frozen(kw_only=True)
class Record:
    """One request of a caller and its outcome.

    :param caller: name of the caller, for messages.
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
        """Whether the right answer arrived whole."""
        match self.outcome:
            case Answered(status=status, defects=defects):
                return status == HTTP_OK and not defects
        return False


@define(kw_only=True)
class Reconciliation:
    """The result of a comparison.

    :param not_run: refusals that said so.
    :param other_answers: whole answers with another status or a defect.
    :param misdelivered: answers and runs of another service or request.
    :param duplicate_runs: second and later runs of requests that may run once.
    :param false_not_run: requests that ran although the caller was told not.
    :param unfounded_answers: answers of runs that no upstream has done.
    :param repeated_lookups: second and later runs of idempotent requests.
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
        """Whether every request has one of the three outcomes."""
        return self.requests == self.answered_whole + self.not_run + self.unknown

    @property
    def consistent(self) -> bool:
        """Whether nothing that callers were told is wrong."""
        return not (
            self.misdelivered
            or self.duplicate_runs
            or self.false_not_run
            or self.unfounded_answers
        )

    def note(self, record: Record, problem: str) -> None:
        """Remember what is wrong with one request."""
        request = record.request
        self.notes.append(
            f"{problem}: {record.service} {record.caller} "
            f"{request.method} {request.path} {request.request_id} {record.outcome} "
            f"after {record.ended - record.started:.1f} s"
        )


def reconcile(records: Iterable[Record], runs: Iterable[Run]) -> Reconciliation:
    """Check every outcome against the ledgers of all upstreams."""
    account = Reconciliation()
    runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_request[run.request_id].append(run)
    for record in records:
        account.requests += 1
        _count_outcome(account, record)
        _check_runs(account, record, runs_by_request[record.request.request_id])
    _check_keys(account, runs_by_request)
    return account


def _count_outcome(account: Reconciliation, record: Record) -> None:
    match record.outcome:
        case NotRun():
            account.not_run += 1
        case Unknown():
            account.unknown += 1
            account.note(record, "unknown")
        case Answered(defects=defects):
            if record.answered_whole:
                account.answered_whole += 1
                return
            account.other_answers += 1
            account.misdelivered += bool(defects & _FOREIGN)
            account.note(record, "unexpected answer")


def _check_runs(account: Reconciliation, record: Record, runs: list[Run]) -> None:
    foreign = [run for run in runs if run.service != record.service]
    account.misdelivered += len(foreign)
    for run in foreign:
        account.note(record, f"run by {run.upstream}")
    if isinstance(record.outcome, NotRun) and runs:
        account.false_not_run += 1
        account.note(record, "ran although refused")
    if not record.request.path.startswith(RUN_PATH):
        return
    done = [run for run in runs if run.outcome == "done"]
    if record.answered_whole and not done:
        account.unfounded_answers += 1
        account.note(record, "answered without a run")
    if len(runs) > 1 and record.request.idempotency_key is None:
        account.repeated_lookups += len(runs) - 1


def _check_keys(account: Reconciliation, runs_by_request: dict[str, list[Run]]) -> None:
    keys = Counter(
        (run.service, run.idempotency_key)
        for runs in runs_by_request.values()
        for run in runs
        if run.idempotency_key
    )
    for (service, key), count in keys.items():
        if count > 1:
            account.duplicate_runs += count - 1
            account.notes.append(f"{service} ran the key {key} {count} times")
