"""Expected share of an upstream's slot time that its flows use.

The load that this module addresses: upstreams of different speeds with one slot each,
and long flows, each of which sends a small request every few seconds and stays at the
upstream that it was opened at. The number of requests at one moment says little about
such an upstream: slow ones saturate in a peak while fast ones are idle. The agent
therefore measures, for each kind of flow, the service time and the requests that one
flow sends in a second, and counts the open flows. Their product is the utilization. A
flow that has just been taken counts at once, so that openings that come together are
spread before anything else about them is known.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from msgspec import Struct

MEMORY_SECONDS = 20.0
"""Time constant of the moving means. A shorter one holds too few requests, so that the
means follow chance more than load."""
INITIAL_SERVICE_SECONDS = 0.05
"""Assumed service time before the first answer."""
INITIAL_SERVICE_WEIGHT = 1.0
"""Number of answers that weigh as much as the assumed service time."""
INITIAL_REQUEST_RATE = 1.0
"""Assumed requests a second of one flow. All agents assume the same, so until rates are
measured, only the number of flows and the service time decide."""
INITIAL_RATE_SECONDS = 60.0
"""Time of one open flow that weighs as much as the assumed rate: a dozen flows outweigh
it after 5 s. With less, the chance of the first requests decides where flows stay."""
UNSEEN_UTILIZATION = 0.5
"""Utilization that a restarted agent adds for flows that are open without its
knowledge. It is that of a moderately loaded upstream, so that the agent neither draws
all new flows nor repels them."""
UNSEEN_SECONDS = 10.0
"""Time over which ``UNSEEN_UTILIZATION`` falls to 0; most open flows send a request
in it."""
MAX_PAUSE_SECONDS = 1.0
"""Interval between ticks above which the agent was frozen."""
BACKLOG_SECONDS = 1.0
"""Time over which the requests at the upstream count as utilization. A backlog of an
outage thus repels flows, while one request more or less weighs like one flow."""
MAX_SLOTS = 1
"""Largest number of slots for which utilization decides. With more, fewer requests wait
below saturation, and asking several agents for each flow gains callers little."""
SHORT_FLOW_REQUESTS = 1.5
"""Mean requests of an ended flow below which flows of its kind are short."""
MIN_ENDED_FLOWS = 3.0
"""Ended flows after which a kind can be called short."""


class OpenFlow(Struct, kw_only=True):
    """A flow that counts as open.

    :param kind: address and port of the flow's service endpoint.
    """

    kind: bytes
    requests: int = 0


class KindMeasures(Struct, kw_only=True):
    """Measured values of the flows of one kind, as sums that decay.

    :param flows: number of open flows.
    :param flow_seconds: total time that flows were open.
    :param repeats: requests other than the first one of each flow, which comes with
        the opening and says nothing about the flow's rate.
    :param requests: all requests.
    :param answers: requests with a known service time.
    :param service_seconds: total of these service times.
    :param ended: flows that ended after at least one request.
    :param ended_requests: requests of these flows.
    """

    updated_at: float
    flows: int = 0
    flow_seconds: float = 0.0
    repeats: float = 0.0
    requests: float = 0.0
    answers: float = 0.0
    service_seconds: float = 0.0
    ended: float = 0.0
    ended_requests: float = 0.0

    def decay(self, *, now: float) -> None:
        """Let the sums decay to the present time."""
        elapsed = max(0.0, now - self.updated_at)
        kept = math.exp(-elapsed / MEMORY_SECONDS)
        self.updated_at = now
        self.flow_seconds *= kept
        self.flow_seconds += self.flows * MEMORY_SECONDS * (1.0 - kept)
        self.repeats *= kept
        self.requests *= kept
        self.answers *= kept
        self.service_seconds *= kept
        self.ended *= kept
        self.ended_requests *= kept

    @property
    def is_short(self) -> bool:
        """True if flows of this kind mostly carry one request."""
        return (
            self.ended >= MIN_ENDED_FLOWS
            and self.ended_requests < SHORT_FLOW_REQUESTS * self.ended
        )

    @property
    def flow_rate(self) -> float:
        """Requests that one flow sends in a second after its first one."""
        repeats = self.repeats + INITIAL_REQUEST_RATE * INITIAL_RATE_SECONDS
        return repeats / (self.flow_seconds + INITIAL_RATE_SECONDS)

    def mean_service_seconds(self, overall: float) -> float:
        """Return the mean service time.

        :param overall: mean of all kinds, assumed before the first answer.
        """
        return _weighted_mean(self.service_seconds, self.answers, overall)

    @property
    def request_rate(self) -> float:
        """Requests of this kind in a second."""
        return self.requests / MEMORY_SECONDS


class Utilization:
    """Measures the flows of one upstream and estimates its utilization.

    :param slots: returns the number of requests that the upstream runs at a time.
    :param knows_flows: True if no flow was open before the agent started.
    :param now: monotonic time in seconds, as in all methods.
    """

    def __init__(
        self, *, slots: Callable[[], int], knows_flows: bool, now: float
    ) -> None:
        self.slots = slots
        self.observed_since = -math.inf if knows_flows else now
        self.ticked_at: float | None = None
        self.incarnation: object = None
        self.open_flows: dict[bytes, OpenFlow] = {}
        self.kinds: dict[bytes, KindMeasures] = {}
        # Time at which each request got a slot; None while it waits at the upstream.
        self.slot_times: dict[bytes, float | None] = {}
        self.queued: deque[bytes] = deque()

    def tick(self, *, now: float) -> None:
        """Record that the agent runs; measures from before a long pause are dropped."""
        if self.ticked_at is not None and now - self.ticked_at > MAX_PAUSE_SECONDS:
            self.observed_since = now
            for kind, measures in self.kinds.items():
                self.kinds[kind] = KindMeasures(updated_at=now, flows=measures.flows)
        self.ticked_at = now

    def observe_incarnation(self, incarnation: object, *, now: float) -> None:
        """Forget the flows of an earlier incarnation of the upstream.

        A flow of the present one counts again from its next request, since the entry
        that names an incarnation may come after flows have opened at it.
        """
        is_changed = self.incarnation not in (None, incarnation)
        self.incarnation = incarnation
        if not is_changed:
            return
        for measures in self.kinds.values():
            measures.decay(now=now)
            measures.flows = 0
        self.open_flows.clear()
        self.slot_times.clear()
        self.queued.clear()

    def add_flow(self, flow: bytes, kind: bytes, *, now: float) -> OpenFlow:
        """Count a flow as open, once."""
        entry = self.open_flows.get(flow)
        if entry is None:
            self._measures(kind, now=now).flows += 1
            entry = self.open_flows[flow] = OpenFlow(kind=kind)
        return entry

    def end_flow(self, flow: bytes, *, now: float) -> None:
        """Record that a flow has ended."""
        entry = self.open_flows.pop(flow, None)
        if entry is None:
            return
        measures = self._measures(entry.kind, now=now)
        measures.flows -= 1
        if entry.requests:
            measures.ended += 1.0
            measures.ended_requests += entry.requests

    def record_request(self, flow: bytes, kind: bytes, *, now: float) -> None:
        """Record a request that arrives in a flow."""
        entry = self.add_flow(flow, kind, now=now)
        measures = self._measures(kind, now=now)
        measures.requests += 1.0
        if entry.requests:
            measures.repeats += 1.0
        entry.requests += 1

    def record_sent(self, flow: bytes, *, running: int, now: float) -> None:
        """Record that a request goes to the upstream.

        :param running: requests that run at the upstream or wait there, with this one.
        """
        if running <= self.slots():
            self.slot_times[flow] = now
        else:
            self.slot_times[flow] = None
            self.queued.append(flow)

    def record_done(self, flow: bytes, *, is_answered: bool, now: float) -> None:
        """Record that a request has left the upstream.

        :param is_answered: False if its time there says nothing about its work.
        """
        if flow not in self.slot_times:
            return
        began = self.slot_times.pop(flow)
        while self.queued:
            following = self.queued.popleft()
            if self.slot_times.get(following, now) is None:
                self.slot_times[following] = now
                break
        entry = self.open_flows.get(flow)
        if entry is not None and began is not None and is_answered:
            measures = self._measures(entry.kind, now=now)
            measures.answers += 1.0
            measures.service_seconds += now - began

    def is_short(self, kind: bytes) -> bool:
        """Return True if flows of a kind mostly carry one request."""
        measures = self.kinds.get(kind)
        return measures is not None and measures.is_short

    def service_seconds(self, kind: bytes) -> float:
        """Return the expected service time of a kind."""
        overall = self._overall_service_seconds()
        measures = self.kinds.get(kind)
        return overall if measures is None else measures.mean_service_seconds(overall)

    def estimate(self, *, now: float) -> float:
        """Return the expected utilization by the present flows."""
        used = 0.0
        overall = self._overall_service_seconds()
        for measures in self.kinds.values():
            measures.decay(now=now)
            rate = (
                measures.request_rate
                if measures.is_short
                else measures.flows * measures.flow_rate
            )
            used += rate * measures.mean_service_seconds(overall)
        return used / self.slots() + self._unseen(now=now)

    def request_rate(self, *, now: float) -> float:
        """Return the requests a second of all kinds over the latest seconds."""
        rate = 0.0
        for measures in self.kinds.values():
            measures.decay(now=now)
            rate += measures.request_rate
        return rate

    def estimate_after(self, kind: bytes, *, load: int, now: float) -> float | None:
        """Return the expected utilization after taking one more flow of a kind.

        Requests that run or wait now count as work of the next ``BACKLOG_SECONDS``.

        :param load: number of these requests.
        :returns: None where the load says more: for short flows, which are over before
            the utilization changes, and for an upstream with many slots.
        """
        if self.is_short(kind) or self.slots() > MAX_SLOTS:
            return None
        rate = self._measures(kind, now=now).flow_rate
        added = rate + load / BACKLOG_SECONDS
        used = added * self.service_seconds(kind) / self.slots()
        return self.estimate(now=now) + used

    def _overall_service_seconds(self) -> float:
        total = sum(measures.service_seconds for measures in self.kinds.values())
        answers = sum(measures.answers for measures in self.kinds.values())
        return _weighted_mean(total, answers, INITIAL_SERVICE_SECONDS)

    def _unseen(self, *, now: float) -> float:
        age = now - self.observed_since
        return UNSEEN_UTILIZATION * max(0.0, 1.0 - age / UNSEEN_SECONDS)

    def _measures(self, kind: bytes, *, now: float) -> KindMeasures:
        measures = self.kinds.get(kind)
        if measures is None:
            measures = self.kinds[kind] = KindMeasures(updated_at=now)
        measures.decay(now=now)
        return measures


def _weighted_mean(total: float, count: float, assumed: float) -> float:
    """Return a mean that starts at an assumed value."""
    weight = INITIAL_SERVICE_WEIGHT
    return (total + weight * assumed) / (count + weight)
