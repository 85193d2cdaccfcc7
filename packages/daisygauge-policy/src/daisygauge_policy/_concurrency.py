"""How many requests an upstream is given at once, from what it does with them.

The upstream's own health and load endpoints lag or mislead, so only completed,
shed and silent runs count here.

===========  ===========================  ====================================
state        entered                      requests run at once
===========  ===========================  ====================================
OPEN         a run completes              the limit, between 1 and the slots
SHEDDING     the upstream sheds a run     none until the back-off ends, then
                                          the lowered limit
SILENT       runs fail or stay            none until the back-off ends, then
             unanswered                   one at a time
===========  ===========================  ====================================

A completion ends both; the limit grows again by one slot after
``COMPLETIONS_TO_GROW`` completions for each slot that it has.
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
# Requests that can't be repeated probe only when no other came for this long.
UNREPEATABLE_PROBE_SECONDS = 5.0


class UpstreamState(enum.Enum):
    """What the upstream's answers say of it."""

    OPEN = "open"
    SHEDDING = "shedding"
    SILENT = "silent"


class RunEnd(enum.Enum):
    """How a run ended."""

    COMPLETED = "completed"
    """A whole answer, whatever its status."""
    SHED = "shed"
    """The upstream refused the request for overload."""
    FAILED = "failed"
    """No connection, or no whole answer before the deadline."""
    CANCELLED = "cancelled"
    """The caller gave up; this says nothing about the upstream."""


@frozen(kw_only=True)
class Run:
    """One request that the upstream has.

    :param started: Unix time in seconds.
    :param expected_seconds: expected time until its answer is complete.
    """

    started: float
    expected_seconds: float


class ConcurrencyLimit:
    """The adaptive limit of one upstream.

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
        """Return how many requests may run at once now."""
        self._check_silence(now)
        if now < self.paused_until:
            return 0
        return 1 if self.state is UpstreamState.SILENT else self.limit

    def may_start(self, *, now: float) -> bool:
        """Tell whether one more request may start now.

        Runs that a silent upstream has swallowed don't count against the probe.
        """
        allowed = self.allowed(now=now)
        if self.state is UpstreamState.SILENT:
            return len(self._probes()) < allowed
        return len(self.running) < allowed

    def is_probe_due(self, *, repeatable: bool, now: float) -> bool:
        """Tell whether a request should try the upstream again.

        :param repeatable: True when a peer may run the request after a failure.
        """
        if self.state is UpstreamState.OPEN or self._probes():
            return False
        grace = 0.0 if repeatable else UNREPEATABLE_PROBE_SECONDS
        return now >= self.paused_until + grace

    def start(self, request_id: str, *, expected_seconds: float, now: float) -> None:
        """Note that a run begins."""
        if not self.running:
            self._last_progress = now
        self.running[request_id] = Run(started=now, expected_seconds=expected_seconds)

    def end(self, request_id: str, *, how: RunEnd, now: float) -> None:
        """Note how a run ended; one that was ended already is ignored."""
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
        self._pause(
            now,
            first=SHED_BACK_OFF_SECONDS,
            longest=LONGEST_SHED_BACK_OFF_SECONDS,
        )

    def _record_failure(self, run: Run, now: float) -> None:
        self._failures += 1
        if self.state is UpstreamState.SILENT:
            is_news = run.started >= self.paused_until
        else:
            is_news = self._failures >= FAILURES_TO_SILENCE
        if is_news:
            self._become_silent(now)

    def _probes(self) -> list[Run]:
        """Return the runs started since the last back-off ended."""
        return [
            run for run in self.running.values() if run.started >= self.paused_until
        ]

    def _check_silence(self, now: float) -> None:
        """Find an upstream that accepts requests and never answers."""
        is_silent = self.state is UpstreamState.SILENT
        watched = self._probes() if is_silent else list(self.running.values())
        if not watched or now < self.paused_until:
            return
        longest = max(run.expected_seconds for run in watched)
        patience = max(SHORTEST_SILENCE_SECONDS, SILENCE_FACTOR * longest)
        newest = max(run.started for run in watched)
        progress = newest if is_silent else self._last_progress
        is_full = len(watched) >= self.limit
        waited = now - max(progress, self.paused_until)
        if waited >= patience and (is_full or now - newest >= patience):
            self._become_silent(now)

    def _become_silent(self, now: float) -> None:
        if now < self.paused_until and self.state is UpstreamState.SILENT:
            return
        if self.state is not UpstreamState.SILENT:
            self._back_off_seconds = 0.0
        self.state = UpstreamState.SILENT
        self._pause(
            now,
            first=SILENT_BACK_OFF_SECONDS,
            longest=LONGEST_SILENT_BACK_OFF_SECONDS,
        )

    def _pause(self, now: float, *, first: float, longest: float) -> None:
        doubled = min(2.0 * self._back_off_seconds, longest)
        self._back_off_seconds = max(first, doubled)
        self.paused_until = now + self._back_off_seconds
