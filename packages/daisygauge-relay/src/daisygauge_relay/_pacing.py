"""Limits on the new flows of a host that has started or recovered."""

from __future__ import annotations

import math

from daisygauge_control import HostRecord, HostState, ServiceRecord
from daisygauge_policy import (
    ColdPeriod,
    ColdRateLimit,
    OpeningReason,
    Pace,
    PeerEntry,
    RequestScheduler,
    SettledPeers,
)

from . import _events as events
from ._runtime import RelayRuntime
from ._upstream import Upstream

PACE_PENALTY = 1
"""Requests added to the load of a host that has used up its pace. With more, a returned
host is passed over while others are overloaded."""


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
        evacuated = self.runtime.directory.view.evacuated
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


class PacedHost:
    """Makes a host that has started or recovered count as busier.

    While other hosts are as loaded as this one, they take its flows; when all hosts
    are limited, they are compared as if none were.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        upstream: Upstream,
        cold_host: ColdHost,
        scheduler: RequestScheduler,
    ) -> None:
        self.runtime = runtime
        self.upstream = upstream
        self.cold_host = cold_host
        self.scheduler = scheduler
        self.pace = Pace(slots=lambda: upstream.slots or 1)
        self.peers = SettledPeers()
        self.view: object = None
        self.incarnation: int | None = None
        self.returned_at = upstream.returned_at
        self.is_return_unconfirmed = False
        self.stuck = 0
        self.last_response_at = -math.inf
        self.was_limited = False

    def refresh(self, *, now: float) -> None:
        """Observe other hosts, starts of this one, and responses that are missing."""
        self.observe_view(now=now)
        if self.upstream.returned_at != self.returned_at:
            self.returned_at = self.upstream.returned_at
            self.is_return_unconfirmed = True
            self.start(now=now)
        stuck = len(self.scheduler.running) - self.scheduler.count_running(now=now)
        if stuck > self.stuck:
            self.pace.record_failure(now=now)
        self.stuck = stuck
        self.log_change(now=now)

    def observe_view(self, *, now: float) -> None:
        """Observe a changed directory."""
        view = self.runtime.directory.view
        if view is self.view:
            return
        self.view = view
        own = self.upstream.host_record
        self.peers.observe(
            (
                PeerEntry(
                    id=host.id,
                    incarnation=host.incarnation,
                    slow_start_seconds=host.slow_start_seconds,
                )
                for host in view.hosts.get(self.upstream.service, ())
                if host.state is HostState.READY
                and host.address != self.upstream.settings.host
                and view.hosts_by_address[host.address] is host
            ),
            now=now,
        )
        if own is None or own.incarnation == self.incarnation:
            return
        is_first = self.incarnation is None
        if not is_first:
            self.upstream.started_at = now
        self.incarnation = own.incarnation
        # The entry of a start that the host's packets have shown already comes later.
        if not is_first and not self.is_return_unconfirmed:
            self.start(now=now)
        self.is_return_unconfirmed = False

    def start(self, *, now: float) -> None:
        """Limit the host from now on."""
        self.stuck = 0
        self.pace.start(slow_seconds=self.cold_host.slow_start_seconds, now=now)

    def is_cold_by_entry(self, *, now: float) -> bool:
        """Return True while the host's entry says that it is cold."""
        return now < self.cold_host.period.cold_until

    def record_response(self, began: float | None, now: float) -> None:
        """Record a response, or a request that the host has failed.

        :param began: monotonic time at which the request was delivered, or None.
        """
        if began is None:
            self.pace.record_failure(now=now)
            return
        if len(self.scheduler.running) > (self.upstream.slots or math.inf):
            # It has waited for the previous one, since the host had no free slot.
            began = max(began, self.last_response_at)
        self.last_response_at = now
        if not self.pace.is_settled_known and self.is_cold_by_entry(now=now):
            return
        self.pace.record_response(now - began, now=now)

    def find_extra_load(self, *, load: int, now: float) -> int:
        """Return the penalty of a limited host that has work and no flow due."""
        self.refresh(now=now)
        if not self.peers.are_enough(now=now):
            return 0
        may_take = self.pace.may_take(is_idle=load == 0, now=now)
        if not self.pace.is_settled_known and self.is_cold_by_entry(now=now):
            may_take = load == 0
        if may_take:
            return 0
        self.runtime.counters.paced += 1
        return PACE_PENALTY

    def record_taken(self, *, now: float) -> None:
        """Record a new flow of the host."""
        self.pace.record_taken(now=now)

    def log_change(self, *, now: float) -> None:
        """Log that the limit begins or ends."""
        is_limited = self.pace.rate is not None
        if is_limited == self.was_limited:
            return
        self.was_limited = is_limited
        reason = "lifted"
        if is_limited:
            reason = "returned" if self.is_return_unconfirmed else "started"
        self.runtime.log.write(
            events.PACE_CHANGED,
            reason=reason,
            flows_per_second=round(self.pace.rate or 0.0, 3),
            settled_seconds=round(self.pace.settled_seconds, 4),
            ratio=round(self.pace.ratio, 3),
        )
