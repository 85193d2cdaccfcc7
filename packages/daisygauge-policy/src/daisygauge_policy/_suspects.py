"""Hosts that do not answer first flights, as one balancer sees them."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

SILENCES_TO_SUSPECT = 2
FIRST_BACK_OFF_SECONDS = 1.0
LONGEST_BACK_OFF_SECONDS = 30.0
LARGEST_EJECTED_SHARE = 0.5
TRIAL_SECONDS = 0.5
"""Time in which the one flow offered after a back-off shows whether a host answers:
clients repeat an opening packet after 0.2 s."""


class Suspicion(Struct, kw_only=True):
    """The silences of one host and its back-off.

    :param silences: first flights without an answer since the last answer.
    :param since: Unix time in seconds at which the host became suspect.
    :param until: Unix time in seconds at which the host is tried again.
    :param trial_until: Unix time in seconds until which one flow tries it.
    :param back_off_seconds: length of the present back-off.
    """

    silences: int = 0
    since: float | None = None
    until: float = 0.0
    trial_until: float = 0.0
    back_off_seconds: float = FIRST_BACK_OFF_SECONDS


class SuspectList:
    """Ejects silent hosts for a growing time, never more than a bounded share.

    After its back-off a host is offered flows again; one more silence ejects it
    for twice the time, and any answer clears it.

    :param largest_share: share of a service's hosts that may be ejected.
    """

    def __init__(self, *, largest_share: float = LARGEST_EJECTED_SHARE) -> None:
        self.largest_share = largest_share
        self.suspicions: dict[str, Suspicion] = {}

    def report_silence(self, host: str, *, now: float) -> None:
        """Record that a host has left a first flight unanswered.

        Silences during the back-off are ignored: their flights were sent before it.
        """
        suspicion = self.suspicions.setdefault(host, Suspicion())
        if suspicion.since is not None and now < suspicion.until:
            return
        suspicion.silences += 1
        if suspicion.since is not None:
            doubled = 2.0 * suspicion.back_off_seconds
            suspicion.back_off_seconds = min(doubled, LONGEST_BACK_OFF_SECONDS)
        elif suspicion.silences < SILENCES_TO_SUSPECT:
            return
        else:
            suspicion.since = now
        suspicion.until = now + suspicion.back_off_seconds

    def begin_trial(self, host: str, *, now: float) -> bool:
        """Let one flow try a suspect whose back-off is over; others avoid it.

        :return: True when the flow is such a trial.
        """
        suspicion = self.suspicions.get(host)
        if suspicion is None or suspicion.since is None:
            return False
        if self._is_backing_off(host, now=now):
            return False
        suspicion.trial_until = now + TRIAL_SECONDS
        return True

    def report_answer(self, host: str) -> None:
        """Record that a host has answered."""
        self.suspicions.pop(host, None)

    def ejected(self, hosts: Iterable[str], *, now: float) -> frozenset[str]:
        """Return the hosts of a service that get no flows at present.

        When too many hosts are silent, the longest silent ones stay ejected: a
        network partition must not leave the service without hosts.
        """
        hosts = tuple(hosts)
        silent = [host for host in hosts if self._is_backing_off(host, now=now)]
        return self._keep_longest_silent(silent, of=len(hosts))

    def _is_backing_off(self, host: str, *, now: float) -> bool:
        suspicion = self.suspicions.get(host)
        return (
            suspicion is not None
            and suspicion.since is not None
            and now < max(suspicion.until, suspicion.trial_until)
        )

    def suspected(self, hosts: Iterable[str]) -> frozenset[str]:
        """Return the hosts that are suspect, during their back-off and after it.

        A host stays suspect until it answers. The number is bounded by the share that
        may be ejected, because a service needs some hosts to offer flows to.

        :param hosts: a service's hosts.
        """
        hosts = tuple(hosts)
        silent = [
            host
            for host in hosts
            if host in self.suspicions and self.suspicions[host].since is not None
        ]
        return self._keep_longest_silent(silent, of=len(hosts))

    def _keep_longest_silent(self, silent: list[str], *, of: int) -> frozenset[str]:
        """Return the longest silent hosts, at most the share that may be ejected.

        :param of: number of the service's hosts.
        """
        ordered = sorted(silent, key=lambda host: (self.suspicions[host].since, host))
        return frozenset(ordered[: int(of * self.largest_share)])

    def retain(self, hosts: Iterable[str]) -> None:
        """Drop what is known of all hosts but the given ones."""
        kept = frozenset(hosts)
        self.suspicions = {
            host: suspicion
            for host, suspicion in self.suspicions.items()
            if host in kept
        }
