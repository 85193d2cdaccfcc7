"""Which peer agent runs a request that has not run yet."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from attrs import define, frozen

from daisygauge_records import HandOff, LoadHandOff
from daisygauge_wire import LoadReport

from ._load_reports import PeerLoadReport

# A load report heard this soon after a hand-off can't count the handed request yet.
TRANSIT_SECONDS = 0.01
# Cost of the detour, so that equal hosts never exchange requests.
DETOUR_SECONDS = 0.005
# A host that did a tenth more than the mean costs as much as one request ahead.
BALANCE_FACTOR = 10.0
LARGEST_CREDIT = 0.1
LARGEST_CHARGE = 0.2
# Below this number of requests for each slot, differences say nothing.
FEWEST_REQUESTS = 5.0


@frozen(kw_only=True)
class PeerLoad:
    """A peer's load report with the requests handed to it since.

    :param unseen: change of its requests since then that is known here.
    :param sent: requests sent to the peer that its load report does not count.
    """

    peer: str
    report: LoadReport
    unseen: int = 0
    sent: int = 0


@dataclass(frozen=True, kw_only=True)
class KeepRequest:
    """The request stays in the agent's own queue."""


@dataclass(frozen=True, kw_only=True)
class HandToPeer:
    """The request goes to a peer.

    :param gain_seconds: how much cheaper it is there, in expected seconds.
    """

    peer: str
    gain_seconds: float


HandOffDecision = KeepRequest | HandToPeer


@define(kw_only=True)
class SentRequest:
    """One request handed to a peer.

    :param sent: Unix time in seconds.
    :param ended: Unix time in seconds, or None while it is under way.
    """

    sent: float
    ended: float | None = None


class SentRequests:
    """Requests handed to each peer, until its load reports tell their state."""

    def __init__(self) -> None:
        self._sent: dict[str, list[SentRequest]] = {}

    def add(self, peer: str, *, now: float) -> SentRequest:
        """Note that a request goes to a peer; its end must be noted too."""
        request = SentRequest(sent=now)
        self._sent.setdefault(peer, []).append(request)
        return request

    def end(self, request: SentRequest, *, now: float) -> None:
        """Note that a peer is done with a request."""
        request.ended = now

    def loads(self, reports: Sequence[PeerLoadReport]) -> tuple[PeerLoad, ...]:
        """Return the peers' loads, corrected for hand-offs since their reports."""
        return tuple(self._correct(held) for held in reports)

    def _correct(self, held: PeerLoadReport) -> PeerLoad:
        counted_until = held.received_at - TRANSIT_SECONDS
        kept = [
            request
            for request in self._sent.get(held.peer, [])
            if request.ended is None or request.ended >= counted_until
        ]
        self._sent[held.peer] = kept
        later = [request for request in kept if request.sent >= counted_until]
        ended = sum(request.ended is not None for request in kept)
        return PeerLoad(
            peer=held.peer,
            report=held.report,
            unseen=len(later) - ended,
            sent=len(later),
        )


def expected_seconds(report: LoadReport, *, unseen: int = 0) -> float:
    """Return when one more request would finish at a host.

    :param unseen: requests under way to the host.
    """
    slots = max(report.slots, 1)
    ahead = max(0, report.running + report.waiting + unseen)
    waiting = max(0.0, ahead + 1 - slots) / slots
    return (1.0 + waiting) * report.service_seconds


def choose_peer(
    *,
    hand_off: HandOff,
    own: LoadReport,
    peers: Sequence[PeerLoad],
    rng: random.Random,
) -> HandOffDecision:
    """Choose where one more request runs.

    A request moves when a peer is cheaper by the margin: by its expected end,
    and by the work it did lately compared with the mean. Of the cheaper peers
    two are drawn at random and the better one is taken: agents that hold the
    same load reports must not all choose the same peer.

    :param own: the agent's present load report without the request itself.
    :param peers: fresh loads of peers of the same service.
    """
    match hand_off:
        case LoadHandOff(margin=margin):
            return _choose_better(margin, own=own, peers=peers, rng=rng)
    return KeepRequest()


@frozen(kw_only=True)
class Fleet:
    """What the hosts of a service have in common.

    :param mean_share: requests done lately or under way for each slot.
    :param unit_seconds: service time of the fastest host.
    """

    mean_share: float
    unit_seconds: float


def _choose_better(
    margin: float, *, own: LoadReport, peers: Sequence[PeerLoad], rng: random.Random
) -> HandOffDecision:
    usable = [load for load in peers if load.report.ready and not load.report.leaving]
    fleet = _describe_fleet(own, usable)
    gains = {
        load.peer: _gain_seconds(load, own=own, margin=margin, fleet=fleet)
        for load in usable
    }
    better = sorted(peer for peer, gain in gains.items() if gain > 0.0)
    if not better:
        return KeepRequest()
    drawn = rng.sample(better, min(2, len(better)))
    best = max(drawn, key=lambda peer: gains[peer])
    return HandToPeer(peer=best, gain_seconds=gains[best])


def _share(report: LoadReport, *, sent: int = 0) -> float:
    return (report.recent + report.running + sent) / max(report.slots, 1)


def _describe_fleet(own: LoadReport, peers: Sequence[PeerLoad]) -> Fleet:
    shares = [_share(load.report, sent=load.sent) for load in peers]
    times = [load.report.service_seconds for load in peers]
    return Fleet(
        mean_share=(_share(own) + sum(shares)) / (len(shares) + 1),
        unit_seconds=min([own.service_seconds, *times]),
    )


def _cost_seconds(
    report: LoadReport, *, fleet: Fleet, unseen: int = 0, sent: int = 0
) -> float:
    """Return the expected end of one more request, dearer at a host that has
    done more than its share lately.

    Both sides are bounded: a host that did little may be slow, and one that did
    much must not wait for it.
    """
    excess = 0.0
    if fleet.mean_share >= FEWEST_REQUESTS:
        excess = _share(report, sent=sent) / fleet.mean_share - 1.0
    bounded = min(max(excess, -LARGEST_CREDIT), LARGEST_CHARGE)
    balance = BALANCE_FACTOR * bounded * fleet.unit_seconds
    return expected_seconds(report, unseen=unseen) + balance


def _gain_seconds(
    load: PeerLoad, *, own: LoadReport, margin: float, fleet: Fleet
) -> float:
    """Return how much cheaper than here a peer is, less the margin."""
    there = _cost_seconds(load.report, fleet=fleet, unseen=load.unseen, sent=load.sent)
    if own.leaving or not own.ready:
        return 1.0 / (1.0 + max(there, 0.0))
    hysteresis = margin * min(own.service_seconds, load.report.service_seconds)
    return _cost_seconds(own, fleet=fleet) - there - hysteresis - DETOUR_SECONDS
