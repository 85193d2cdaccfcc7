"""What an agent knows of the upstream beside it."""

from __future__ import annotations

from daisygauge_control import HostRecord, HostState
from daisygauge_policy import OpeningReason

from . import _events as events
from ._candidates import service_tag
from ._runtime import RelayRuntime
from ._settings import RelayAgentSettings

TRIAL_SECONDS = 0.5
"""How often a silent upstream is tried with an opening packet that others get too."""
LONGEST_AGE_SECONDS = 9_999.0
"""Stands in the log for an upstream that was never heard."""


class Upstream:
    """The upstream's announcement and its signs of life.

    :ivar silent_since: monotonic time at which it left an opening packet unanswered,
        or None while it answers.
    """

    def __init__(self, *, runtime: RelayRuntime, settings: RelayAgentSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.started = runtime.now()
        self.silent_since: float | None = None
        self.last_trial = float("-inf")
        self.heard = float("-inf")

    @property
    def resident(self) -> HostRecord | None:
        """The host that the directory knows at this address."""
        return self.runtime.directory.view.hosts_by_address.get(self.settings.host)

    @property
    def service(self) -> str:
        """The service of the upstream."""
        return self.runtime.settings.service

    def is_of(self, service: int) -> bool:
        """Tell whether the upstream belongs to a service, by all that is known.

        The entry of an earlier host may still stand at the address, or the settings
        may not tell of the present one yet. A flow that came by either alone could
        reach another service.

        :param service: tag of the service.
        """
        host = self.resident
        is_resident = host is None or service_tag(host.service) == service
        return is_resident and service_tag(self.service) == service

    @property
    def slots(self) -> int | None:
        """Requests that it runs at a time, or None while that isn't known."""
        host = self.resident
        return None if host is None else host.slots

    def find_inability(self, service: int) -> OpeningReason | None:
        """Return why it can't take a flow of a service, if it can't.

        :param service: tag of the service.
        """
        if not self.is_of(service):
            return OpeningReason.OTHER_SERVICE
        host = self.resident
        is_leaving = host is not None and host.state is HostState.DRAINING
        if self.runtime.is_leaving or is_leaving:
            return OpeningReason.LEAVING
        if self.silent_since is not None:
            return OpeningReason.SILENT
        return None

    def is_known(self, *, now: float) -> bool:
        """Tell whether the agent knows every flow that may still be open.

        An entry that names a new life of the upstream says nothing about that: it may
        come late, when flows of that life are open already.
        """
        is_first = self.settings.first_start
        return is_first or now - self.started > self.settings.flow_seconds

    def note_heard(self, *, now: float) -> None:
        """Note that it lives."""
        self.heard = now
        if self.silent_since is None:
            return
        self.runtime.log.write(
            events.UPSTREAM_HEARD, silent_seconds=round(now - self.silent_since, 3)
        )
        self.silent_since = None

    def note_silence(self, *, now: float) -> None:
        """Note that it left an opening packet unanswered."""
        if self.silent_since is not None:
            return
        self.silent_since = now
        self.last_trial = now
        self.runtime.log.write(
            events.UPSTREAM_SILENT,
            upstream=self.settings.upstream,
            heard_seconds=round(min(now - self.heard, LONGEST_AGE_SECONDS), 3),
        )

    def begin_trial(self, *, now: float) -> bool:
        """Tell whether it is to be tried while silent, now and then."""
        if now - self.last_trial < TRIAL_SECONDS:
            return False
        self.last_trial = now
        return True
