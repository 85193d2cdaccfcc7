"""Which peer agent runs a request that has not run yet."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from attrs import frozen

from daisygauge_records import HandOff, LoadHandOff
from daisygauge_wire import Gauge

from ._gauges import PeerGauge

# A gauge heard this soon after a hand-off can't count the handed request yet.
TRANSIT_SECONDS = 0.01
# Cost of the detour, so that equal hosts never exchange requests.
DETOUR_SECONDS = 0.005


@frozen(kw_only=True)
class PeerLoad:
    """A peer's gauge with the requests handed to it since.

    :param unseen: requests sent to the peer that its gauge does not count.
    """

    peer: str
    gauge: Gauge
    unseen: int = 0


@dataclass(frozen=True, kw_only=True)
class KeepRequest:
    """The request stays in the agent's own queue."""


@dataclass(frozen=True, kw_only=True)
class HandToPeer:
    """The request goes to a peer.

    :param gain_seconds: how much earlier it is expected to finish there.
    """

    peer: str
    gain_seconds: float


HandOffDecision = KeepRequest | HandToPeer


class SentRequests:
    """Requests handed to each peer, until its gauges count them."""

    def __init__(self) -> None:
        self._sent: dict[str, deque[float]] = {}

    def add(self, peer: str, *, now: float) -> None:
        """Note that a request goes to a peer."""
        self._sent.setdefault(peer, deque()).append(now)

    def loads(self, gauges: Sequence[PeerGauge]) -> tuple[PeerLoad, ...]:
        """Return the peers' loads including what was sent after their gauges."""
        return tuple(
            PeerLoad(peer=held.peer, gauge=held.gauge, unseen=self._count(held))
            for held in gauges
        )

    def _count(self, held: PeerGauge) -> int:
        sent = self._sent.get(held.peer, deque())
        while sent and sent[0] < held.heard - TRANSIT_SECONDS:
            sent.popleft()
        return len(sent)


def expected_seconds(gauge: Gauge, *, unseen: int = 0) -> float:
    """Return when one more request would finish at a host.

    :param unseen: requests under way to the host.
    """
    slots = max(gauge.slots, 1)
    ahead = gauge.running + gauge.waiting + unseen
    waiting = max(0.0, ahead + 1 - slots) / slots
    return (1.0 + waiting) * gauge.service_seconds


def choose_peer(
    *,
    hand_off: HandOff,
    own: Gauge,
    peers: Sequence[PeerLoad],
    rng: random.Random,
) -> HandOffDecision:
    """Choose where one more request runs.

    A request moves only when a peer is better by the margin. Of the better
    peers two are drawn at random and the better one is taken: agents that hold
    the same gauges must not all choose the same peer.

    :param own: the agent's present gauge without the request itself.
    :param peers: fresh loads of peers of the same service.
    """
    match hand_off:
        case LoadHandOff(margin=margin):
            return _choose_better(margin, own=own, peers=peers, rng=rng)
    return KeepRequest()


def _choose_better(
    margin: float, *, own: Gauge, peers: Sequence[PeerLoad], rng: random.Random
) -> HandOffDecision:
    usable = [load for load in peers if load.gauge.ready and not load.gauge.leaving]
    gains = {load.peer: _gain_seconds(load, own=own, margin=margin) for load in usable}
    better = sorted(peer for peer, gain in gains.items() if gain > 0.0)
    if not better:
        return KeepRequest()
    drawn = rng.sample(better, min(2, len(better)))
    best = max(drawn, key=lambda peer: gains[peer])
    return HandToPeer(peer=best, gain_seconds=gains[best])


def _gain_seconds(load: PeerLoad, *, own: Gauge, margin: float) -> float:
    """Return how much earlier than here a peer would finish, less the margin."""
    there = expected_seconds(load.gauge, unseen=load.unseen)
    if own.leaving or not own.ready:
        return max(own.service_seconds, there) + DETOUR_SECONDS
    hysteresis = margin * min(own.service_seconds, load.gauge.service_seconds)
    return expected_seconds(own) - there - hysteresis - DETOUR_SECONDS
