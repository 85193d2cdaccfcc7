"""Adaptive limit of the requests that run at once at an upstream.

The upstream's own health and load endpoints lag or mislead, so the limit depends
only on completed, shed and unanswered runs.

===========  ===========================  ====================================
state        entered                      requests run at once
===========  ===========================  ====================================
OPEN         a run completes              the limit, between 1 and the slots
SHEDDING     the upstream sheds a run     none until the back-off ends, then
                                          the lowered limit
SILENT       runs fail or stay            none until the back-off ends, then
             unanswered                   one at a time
===========  ===========================  ====================================

A completed run ends SHEDDING and SILENT. The limit grows by one slot after
``COMPLETIONS_TO_GROW`` completed runs per slot of the present limit.
"""

from __future__ import annotations

import enum

from attrs import frozen

SHORTEST_SILENCE_SECONDS = 1.0
SILENCE_FACTOR = 8.0
FAILURES_TO_SILENCE = 3
SHED_BACK_OFF_SECONDS = 0.05
LONGEST_SHED_BACK_OFF_SECONDS = 2.0
SILENT_BACK_OFF_SECONDS = 0.5
LONGEST_SILENT_BACK_OFF_SECONDS = 8.0
COMPLETIONS_TO_GROW = 8
# A request that can't be repeated probes only if no other has come for this long.
UNREPEATABLE_PROBE_SECONDS = 5.0


class UpstreamState(enum.Enum):
    """State of an upstream; see the table of the module."""

    OPEN = "open"
    SHEDDING = "shedding"
    SILENT = "silent"


class RunEnd(enum.Enum):
    """How a run ended."""

    COMPLETED = "completed"
    """The answer was complete, whatever its status."""
    SHED = "shed"
    """The upstream refused the request for overload."""
    FAILED = "failed"
    """No connection, or no complete answer before the deadline."""
    CANCELLED = "cancelled"
    """The caller gave up, which says nothing about the upstream."""


@frozen(kw_only=True)
class Run:
    """One request that runs at the upstream.

    :param started: Unix time in seconds.
    :param expected_seconds: expected time until its answer is complete.
    """

    started: float
    expected_seconds: float


class ConcurrencyLimit:
    """The adaptive concurrency limit of one upstream.

    :param slots: published slots of the upstream.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.state = UpstreamState.OPEN
        self.running: dict[str, Run] = {}
        self.limit = slots
        self.paused_until = 0.0
        self._back_off_seconds = 0.0
        self._last_progress = 0.0
        self._completions = 0
        self._failures = 0

    def allowed(self, *, now: float) -> int:
        """Return how many requests may run at once at present."""
        self._check_silence(now)
        if now < self.paused_until:
            return 0
        return 1 if self.state is UpstreamState.SILENT else self.limit

    def may_start(self, *, now: float) -> bool:
        """Tell whether one more request may start now.

        Earlier runs that a silent upstream left unanswered don't count.
        """
        allowed = self.allowed(now=now)
        if self.state is UpstreamState.SILENT:
            return len(self._running_probes()) < allowed
        return len(self.running) < allowed

    def is_probe_due(self, *, repeatable: bool, now: float) -> bool:
        """Tell whether a request should try the upstream again.

        :param repeatable: True when a peer may run the request after a failure.
        """
        if self.state is UpstreamState.OPEN or self._running_probes():
            return False
        grace = 0.0 if repeatable else UNREPEATABLE_PROBE_SECONDS
        return now >= self.paused_until + grace

    def start(self, request_id: str, *, expected_seconds: float, now: float) -> None:
        """Record the start of a run."""
        if not self.running:
            self._last_progress = now
        self.running[request_id] = Run(started=now, expected_seconds=expected_seconds)

    def end(self, request_id: str, *, how: RunEnd, now: float) -> None:
        """Record how a run ended; a run that has ended already is ignored."""
        run = self.running.pop(request_id, None)
        if run is None:
            return
        match how:
            case RunEnd.COMPLETED:
                self._record_completion(now)
            case RunEnd.SHED:
                self._record_shed(now)
            case RunEnd.FAILED:
                self._record_failure(run, now)

    def _record_completion(self, now: float) -> None:
        if self.state is UpstreamState.SILENT:
            self.paused_until = min(self.paused_until, now)
        self.state = UpstreamState.OPEN
        self._last_progress = now
        self._back_off_seconds = 0.0
        self._failures = 0
        self._completions += 1
        if self._completions >= COMPLETIONS_TO_GROW * self.limit:
            self.limit = min(self.slots, self.limit + 1)
            self._completions = 0

    def _record_shed(self, now: float) -> None:
        self._last_progress = now
        self._completions = 0
        if now < self.paused_until:
            return
        if self.state is UpstreamState.OPEN:
            self._back_off_seconds = 0.0
        self.state = UpstreamState.SHEDDING
        self.limit = max(1, self.limit - 1)
        self._start_back_off(
            now,
            first=SHED_BACK_OFF_SECONDS,
            longest=LONGEST_SHED_BACK_OFF_SECONDS,
        )

    def _record_failure(self, run: Run, now: float) -> None:
        self._failures += 1
        if self.state is UpstreamState.SILENT:
            is_new_evidence = run.started >= self.paused_until
        else:
            is_new_evidence = self._failures >= FAILURES_TO_SILENCE
        if is_new_evidence:
            self._enter_silent(now)

    def _running_probes(self) -> list[Run]:
        """Return the runs started since the last back-off ended."""
        return [
            run for run in self.running.values() if run.started >= self.paused_until
        ]

    def _check_silence(self, now: float) -> None:
        """Enter SILENT if the upstream accepts requests but doesn't answer them."""
        is_silent = self.state is UpstreamState.SILENT
        runs = self._running_probes() if is_silent else list(self.running.values())
        if not runs or now < self.paused_until:
            return
        longest_expected = max(run.expected_seconds for run in runs)
        timeout_seconds = max(
            SHORTEST_SILENCE_SECONDS, SILENCE_FACTOR * longest_expected
        )
        last_start = max(run.started for run in runs)
        last_progress = last_start if is_silent else self._last_progress
        is_full = len(runs) >= self.limit
        waited_seconds = now - max(last_progress, self.paused_until)
        if waited_seconds >= timeout_seconds and (
            is_full or now - last_start >= timeout_seconds
        ):
            self._enter_silent(now)

    def _enter_silent(self, now: float) -> None:
        if now < self.paused_until and self.state is UpstreamState.SILENT:
            return
        if self.state is not UpstreamState.SILENT:
            self._back_off_seconds = 0.0
        self.state = UpstreamState.SILENT
        self._start_back_off(
            now,
            first=SILENT_BACK_OFF_SECONDS,
            longest=LONGEST_SILENT_BACK_OFF_SECONDS,
        )

    def _start_back_off(self, now: float, *, first: float, longest: float) -> None:
        doubled = min(2.0 * self._back_off_seconds, longest)
        self._back_off_seconds = max(first, doubled)
        self.paused_until = now + self._back_off_seconds
