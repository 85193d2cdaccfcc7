"""State of the upstream on the agent's own instance."""

from __future__ import annotations

from daisygauge_control import HostRecord, HostState
from daisygauge_policy import OpeningReason

from . import _events as events
from ._candidates import service_tag
from ._flows import AgentFlow, FlowStage
from ._runtime import RelayRuntime
from ._settings import RelayAgentSettings

RESTART_SECONDS = 0.1
"""An upstream that is heard again sooner than this has answered late: no upstream ends
and starts within the timeout of an opening packet and this time."""
PROBE_INTERVAL_SECONDS = 0.5
"""Interval at which a silent upstream is probed with an opening packet that is passed
on as well."""
MAX_LOGGED_AGE_SECONDS = 9_999.0
"""Highest age in the log, also logged for an upstream that has sent nothing yet."""


class Upstream:
    """The upstream's directory entry and its liveness.

    :ivar silent_since: monotonic time at which an opening packet timed out, or None
        while the upstream answers.
    :ivar last_received: monotonic time of its last packet.
    :ivar returned_at: monotonic time at which it was last known to be back after it had
        probably ended.
    :ivar started_at: monotonic time at which the entry of a new incarnation was first
        seen.
    """

    def __init__(self, *, runtime: RelayRuntime, settings: RelayAgentSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.started = runtime.now()
        self.silent_since: float | None = None
        self.last_probe = float("-inf")
        self.last_received = float("-inf")
        self.returned_at = float("-inf")
        self.started_at = float("-inf")

    @property
    def host_record(self) -> HostRecord | None:
        """The host that the directory lists at this address, or None."""
        return self.runtime.directory.view.hosts_by_address.get(self.settings.host)

    @property
    def last_start(self) -> float:
        """Monotonic time at which it was last known to have probably started."""
        return max(self.returned_at, self.started_at)

    @property
    def service(self) -> str:
        """Name of the upstream's service in the settings."""
        return self.runtime.settings.service

    def belongs_to(self, service: int) -> bool:
        """Return True when both directory and settings place the upstream in a service.

        The directory may still list an earlier host at the address, and the settings
        may not name the current one yet. Either one alone could let a flow reach
        another service.

        :param service: tag of the service.
        """
        host = self.host_record
        matches_directory = host is None or service_tag(host.service) == service
        return matches_directory and service_tag(self.service) == service

    @property
    def slots(self) -> int | None:
        """Number of requests that the upstream runs at once, or None while unknown."""
        host = self.host_record
        return None if host is None else host.slots

    @property
    def failure_domain(self) -> str:
        """Failure domain of the directory's entry, or else that of the settings."""
        host = self.host_record
        settings = self.runtime.settings
        return settings.failure_domain if host is None else host.failure_domain

    @property
    def is_evacuated(self) -> bool:
        """True while the upstream's failure domain is evacuated."""
        return self.failure_domain in self.runtime.directory.view.evacuated

    @property
    def awaits_evacuations(self) -> bool:
        """True while evacuations may be in force that this agent has not read yet.

        A narrow link's first read has only the hosts and doesn't count. Without a time
        limit for evacuations in the settings, the agent takes flows meanwhile.
        """
        is_limited = self.runtime.settings.evacuation_milliseconds > 0.0
        return is_limited and self.runtime.directory.first_read_at is None

    def find_inability(self, service: int) -> OpeningReason | None:
        """Return why the upstream can't take a flow of a service, or None.

        :param service: tag of the service.
        """
        if not self.belongs_to(service):
            return OpeningReason.OTHER_SERVICE
        host = self.host_record
        is_leaving = host is not None and host.state is HostState.DRAINING
        if self.runtime.is_leaving or is_leaving:
            return OpeningReason.LEAVING
        if self.is_evacuated:
            return OpeningReason.EVACUATED
        if self.silent_since is not None:
            return OpeningReason.SILENT
        return None

    def knows_every_flow(self, *, now: float) -> bool:
        """Return True when the agent knows every flow that may still be open.

        That is so after the system's first start, and once the agent has run for
        ``flow_seconds``. A directory entry with a new incarnation of the upstream
        proves nothing: it may arrive after flows have opened at that incarnation.
        """
        is_first = self.settings.first_start
        flow_seconds = self.runtime.settings.flow_seconds
        return is_first or now - self.started > flow_seconds

    def record_received(self, *, now: float) -> None:
        """Record a packet from the upstream."""
        self.last_received = now
        if self.silent_since is None:
            return
        self.runtime.log.write(
            events.UPSTREAM_HEARD, silent_seconds=round(now - self.silent_since, 3)
        )
        if now - self.silent_since > RESTART_SECONDS:
            self.returned_at = now
        self.silent_since = None

    def record_lost_flow(self, flow: AgentFlow, *, now: float) -> None:
        """Record that the upstream doesn't hold a flow any more that it has served.

        Flows of an earlier incarnation come back one by one, as their clients send;
        only one that the upstream has served since its return shows another start.
        Upstreams end idle flows themselves.
        """
        idle_seconds = self.runtime.directory.view.idle_timeout_seconds
        is_served = flow.upstream_next is not None and flow.stage is FlowStage.OPEN
        if not is_served or flow.has_ended or flow.upstream_at <= self.last_start:
            return
        if now - flow.upstream_at < idle_seconds:
            self.returned_at = now

    def record_silence(self, *, now: float) -> None:
        """Record that the upstream left an opening packet unanswered."""
        if self.silent_since is not None:
            return
        self.silent_since = now
        self.last_probe = now
        self.runtime.log.write(
            events.UPSTREAM_SILENT,
            upstream=self.settings.upstream,
            heard_seconds=round(
                min(now - self.last_received, MAX_LOGGED_AGE_SECONDS), 3
            ),
        )

    def begin_probe(self, *, now: float) -> bool:
        """Return True and start a probe when the probe interval has passed."""
        if now - self.last_probe < PROBE_INTERVAL_SECONDS:
            return False
        self.last_probe = now
        return True
