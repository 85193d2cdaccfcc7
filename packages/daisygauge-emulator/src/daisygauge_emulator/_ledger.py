"""Ledger of the runs of an upstream, to reconcile with the callers' outcomes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import IO

from attrs import asdict, define, field


@define(kw_only=True)
class Run:
    """One run of a request in a slot.

    :param started: Unix time in seconds.
    :param number: number of the run within its process, from 0.
    :param ended: Unix time in seconds, None while the request runs.
    :param outcome: ``running``, ``done`` or ``cancelled``.
    """

    number: int
    request_id: str
    idempotency_key: str
    service: str
    upstream: str
    started: float
    ended: float | None = None
    outcome: str = "running"


@define(kw_only=True)
class Ledger:
    """All runs of one host in the order of their start.

    :param file: receives a line at each start and end of a run, so that the runs
        are still known after the process was killed.
    """

    file: IO[str] | None = None
    runs: list[Run] = field(factory=list)

    def write(self, run: Run) -> None:
        """Append the current state of a run to the file."""
        if self.file is not None:
            self.file.write(json.dumps(asdict(run)) + "\n")
            self.file.flush()

    def start(
        self,
        *,
        request_id: str,
        idempotency_key: str,
        service: str,
        upstream: str,
        now: float,
    ) -> Run:
        """Record the start of a run.

        :param now: Unix time in seconds.
        """
        run = Run(
            number=len(self.runs),
            request_id=request_id,
            idempotency_key=idempotency_key,
            service=service,
            upstream=upstream,
            started=now,
        )
        self.runs.append(run)
        self.write(run)
        return run

    def end(self, run: Run, *, outcome: str, now: float) -> None:
        """Record the end of a run.

        :param outcome: ``done`` or ``cancelled``.
        :param now: Unix time in seconds.
        """
        run.ended = now
        run.outcome = outcome
        self.write(run)


def read_ledger(path: Path) -> list[Run]:
    """Read the runs from a ledger file, whose host may still be running.

    An incomplete last line is ignored. The last line of a run is its state.
    """
    if not path.exists():
        return []
    lines = path.read_text().splitlines(keepends=True)
    entries = (json.loads(line) for line in lines if line.endswith("\n"))
    runs = {(entry["started"], entry["number"]): Run(**entry) for entry in entries}
    return list(runs.values())
