"""Limits on the new flows of a host that has started or recovered."""

from __future__ import annotations

import math

from daisygauge_control import HostRecord, ServiceRecord
from daisygauge_policy import ColdPeriod, ColdRateLimit, OpeningReason

from . import _events as events
from ._runtime import RelayRuntime
from ._upstream import Upstream


class ColdHost:
    """Limits the opening packets that the host gets while it is cold.

    The agent delivers every opening packet that its host gets, so it counts alone.
    """

    def __init__(self, *, runtime: RelayRuntime, upstream: Upstream) -> None:
        self.runtime = runtime
        self.upstream = upstream
        self.period = ColdPeriod()
        self.limit = ColdRateLimit(started=runtime.now())
        self.returned_at = upstream.returned_at
        self.was_evacuated = False

    async def run(self) -> None:
        """Observe each change of the directory, until cancelled.

        An entry's remaining time counts from the moment at which it is seen.
        """
        while True:
            await self.runtime.changed.wait()
            self.refresh(now=self.runtime.now())

    def refresh(self, *, now: float) -> None:
        """Observe the host's entry, its returns and the end of its evacuation."""
        host = self.upstream.host_record
        is_new = self.period.observe_entry(
            host,
            incarnation=0 if host is None else host.incarnation,
            slow_start_seconds=0.0 if host is None else host.slow_start_seconds,
            now=now,
        )
        if self.upstream.returned_at != self.returned_at:
            self.returned_at = self.upstream.returned_at
            self.period.assume_restarted(
                slow_start_seconds=self.slow_start_seconds, now=now
            )
            self.log("returned", now=now)
        is_evacuated = self.is_evacuated(host)
        if self.was_evacuated and not is_evacuated:
            self.period.assume_idle(slow_start_seconds=self.slow_start_seconds, now=now)
            self.log("evacuation-ended", now=now)
        self.was_evacuated = is_evacuated
        if is_new and self.is_cold(now=now):
            self.log("no-entry" if host is None else "entry", now=now)

    def is_evacuated(self, host: HostRecord | None) -> bool:
        """Return True while the host's failure domain is evacuated."""
        evacuated = getattr(self.runtime.directory.view, "evacuated", frozenset())
        return host is not None and host.failure_domain in evacuated

    @property
    def service(self) -> ServiceRecord | None:
        """The service in the configuration, or None."""
        return self.runtime.directory.view.services.get(self.upstream.service)

    @property
    def slow_start_seconds(self) -> float:
        """Time for which a host of the service is cold after its start."""
        return 0.0 if self.service is None else self.service.slow_start_seconds

    @property
    def per_second(self) -> float:
        """Opening packets that a cold host gets in a second; infinite for no limit.

        While no configuration is known, the rate of the service may be any.
        """
        settings = self.runtime.settings
        if not self.runtime.directory.view.is_complete:
            return settings.cold_rate_slack or math.inf
        if self.service is None or not self.service.slow_start_rate:
            return math.inf
        rate = self.service.slow_start_rate
        return rate * settings.cold_rate_factor + settings.cold_rate_slack

    def is_cold(self, *, now: float) -> bool:
        """Return True while the host counts as cold."""
        return self.period.is_cold(now=now)

    def check(self, *, now: float) -> OpeningReason | None:
        """Return COLD when the host is cold and has got its share of packets."""
        self.refresh(now=now)
        per_second = self.per_second
        if math.isinf(per_second) or not self.is_cold(now=now):
            return None
        may_send = self.limit.may_send(per_second=per_second, now=now)
        return None if may_send else OpeningReason.COLD

    def record_taken(self, *, now: float) -> None:
        """Record an opening packet that is delivered to the host."""
        self.limit.record_sent(now=now)

    def log(self, reason: str, *, now: float) -> None:
        """Log why the host counts as cold, if that limits its flows."""
        per_second = self.per_second
        if math.isinf(per_second):
            return
        cold_until = max(self.period.cold_until, self.period.assumed_until)
        self.runtime.log.write(
            events.HOST_COLD,
            reason=reason,
            incarnation=self.period.incarnation,
            seconds=round(max(cold_until - now, 0.0), 3),
            per_second=round(per_second, 3),
            **self.runtime.known_state(),
        )
