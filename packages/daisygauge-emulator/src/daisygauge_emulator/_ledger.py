"""What an upstream really ran, to compare with what callers were told."""

from __future__ import annotations

import json
from pathlib import Path
from typing import IO

from attrs import asdict, define, field


@define(kw_only=True)
class Run:
    """One run of a request in a slot.

    :param started: Unix time in seconds.
    :param ended: Unix time in seconds, None while it runs.
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
    """Every run of one host, in order of its start.

    :param file: takes a line at each start and end, so that it outlives a kill.
    """

    file: IO[str] | None = None
    runs: list[Run] = field(factory=list)

    def write(self, run: Run) -> None:
        """Append the present state of a run to the file."""
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
        """Add a run that takes its slot now.

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
        """Note how a run ended.

        :param now: Unix time in seconds.
        """
        run.ended = now
        run.outcome = outcome
        self.write(run)


def read_ledger(path: Path) -> list[Run]:
    """Read the runs that a host has written, whether it is up or not."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines(keepends=True)
    whole = (json.loads(line) for line in lines if line.endswith("\n"))
    runs = {(line["started"], line["number"]): Run(**line) for line in whole}
    return list(runs.values())
