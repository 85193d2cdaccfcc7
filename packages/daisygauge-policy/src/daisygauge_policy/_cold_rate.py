"""How many opening packets a cold host gets.

A host is slow for some seconds after its start. The load that this module addresses:
a host starts, or its failure domain is opened again, while flows arrive at a rate above
what it can handle in these seconds. All its slots are free, so every agent without a
free slot passes flows on to it, and their first requests wait in its queue.
"""

from __future__ import annotations

import math
from collections import deque

SPAN_SECONDS = 1.0
"""Any span of this length holds at most the allowed number of opening packets."""
SPAN_MARGIN_SECONDS = 0.05
"""Added to the span: packets that leave the agent this much further apart than a span
may reach the host within one, when the instance's processor is shared."""


class ColdRateLimit:
    """A sliding window over the opening packets that a host has been sent.

    Packets are counted while the host isn't cold as well, because the span before the
    host is known to be cold counts too.

    :param started: monotonic time of the agent's start. The agent doesn't know what the
        host was sent before, so the span before its start counts as full.
    """

    def __init__(self, *, started: float) -> None:
        self.started = started
        self.sent: deque[float] = deque()

    def may_send(self, *, per_second: float, now: float) -> bool:
        """Return True if one more opening packet stays within the limit.

        :param per_second: opening packets allowed in any span of a second.
        """
        span_began = self._drop_earlier(now=now)
        if self.started > span_began:
            return False
        return len(self.sent) + 1 <= per_second

    def record_sent(self, *, now: float) -> None:
        """Record an opening packet that is sent to the host."""
        self._drop_earlier(now=now)
        self.sent.append(now)

    def _drop_earlier(self, *, now: float) -> float:
        """Forget the packets from before the span; return the span's beginning."""
        span_began = now - SPAN_SECONDS - SPAN_MARGIN_SECONDS
        while self.sent and self.sent[0] <= span_began:
            self.sent.popleft()
        return span_began


class ColdPeriod:
    """Tells until when a host counts as cold.

    An entry gives the remaining time when it was written; it counts from the moment at
    which the agent first saw the entry, which is later and therefore safe. Three things
    make a host count as cold without an entry that says so: no entry is known; the
    host has probably started again and its entry is still the earlier one; the host was
    evacuated, its requests ended, and it has become cold again.

    :ivar cold_until: monotonic time at which the host stops being cold by its entry.
    :ivar assumed_until: monotonic time until which it counts as cold without an entry
        that says so.
    """

    def __init__(self) -> None:
        self.entry: object | None = None
        self.incarnation: int | None = None
        self.cold_until = -math.inf
        self.assumed_until = -math.inf
        self.outdated_incarnation: int | None = None

    def observe_entry(
        self,
        entry: object | None,
        *,
        incarnation: int,
        slow_start_seconds: float,
        now: float,
    ) -> bool:
        """Record the entry in force; return True when it has not been seen before.

        Entries are told apart by identity: a later one may have equal fields.

        :param slow_start_seconds: remaining time according to the entry.
        """
        if entry is self.entry:
            return False
        self.entry = entry
        if entry is None:
            return True
        self.incarnation = incarnation
        self.cold_until = now + slow_start_seconds
        if incarnation != self.outdated_incarnation:
            self.assumed_until = -math.inf
        return True

    def assume_restarted(self, *, slow_start_seconds: float, now: float) -> None:
        """Count the host as cold until an entry of another incarnation arrives.

        :param slow_start_seconds: longest time for which it counts as cold.
        """
        self.outdated_incarnation = self.incarnation
        self.assumed_until = now + slow_start_seconds

    def assume_idle(self, *, slow_start_seconds: float, now: float) -> None:
        """Count the host as cold until any entry arrives that wasn't seen before.

        :param slow_start_seconds: longest time for which it counts as cold.
        """
        self.outdated_incarnation = None
        self.assumed_until = now + slow_start_seconds

    def is_cold(self, *, now: float) -> bool:
        """Return True while the host counts as cold."""
        return self.entry is None or now < max(self.cold_until, self.assumed_until)
