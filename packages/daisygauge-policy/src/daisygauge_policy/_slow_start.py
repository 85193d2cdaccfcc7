"""Slow start: a cold host gets a growing share of its weight."""

from __future__ import annotations

import math

FIRST_SHARE = 0.125
SHARE_STEPS = 8


def slow_start_share(*, age_seconds: float, ramp_seconds: float) -> float:
    """Return the share of its weight that a host gets, in steps up to 1.0.

    Steps limit the number of placement table changes during slow start.

    :param age_seconds: time since the host became ready.
    :param ramp_seconds: time until the host gets its full weight.
    """
    if ramp_seconds <= 0.0 or age_seconds >= ramp_seconds:
        return 1.0
    progress = max(age_seconds, 0.0) / ramp_seconds
    step = math.floor(progress * SHARE_STEPS) + 1
    return max(FIRST_SHARE, min(step / SHARE_STEPS, 1.0))


class SlowStart:
    """Tracks when each host was first seen, and the share of hosts in slow start.

    The hosts of the first list that isn't empty count as warm: this process has just
    started, and the hosts may have run for long.
    """

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
        self._has_seen_hosts = False

    def observe_hosts(self, hosts: frozenset[str], *, now: float) -> None:
        """Record the ids of all published hosts; other hosts are dropped."""
        first_seen = now if self._has_seen_hosts else -math.inf
        self.since = {host: self.since.get(host, first_seen) for host in hosts}
        self._has_seen_hosts = self._has_seen_hosts or bool(hosts)

    def observe_restart(self, host: str, *, now: float) -> None:
        """Restart the slow start of a host that has a new incarnation."""
        if host in self.since:
            self.since[host] = now

    def shares(self, *, now: float, ramp_seconds: float) -> dict[str, float]:
        """Return the share of every host in slow start, by id."""
        shares = {
            host: slow_start_share(age_seconds=now - since, ramp_seconds=ramp_seconds)
            for host, since in self.since.items()
        }
        return {host: share for host, share in shares.items() if share < 1.0}
