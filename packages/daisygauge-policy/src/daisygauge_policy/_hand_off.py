"""Which peer agent runs a request that has not run yet."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from attrs import define, frozen

from daisygauge_records import HandOff, LoadHandOff
from daisygauge_wire import LoadReport

from ._load_reports import PeerLoadReport

# A load report received this soon after a hand-off can't count the request yet.
TRANSIT_SECONDS = 0.01
# Cost of the extra hop, so that equal hosts never exchange requests.
DETOUR_SECONDS = 0.005
# A tenth more requests than the mean costs as much as one more request ahead.
BALANCE_FACTOR = 10.0
LARGEST_CREDIT = 0.1
LARGEST_CHARGE = 0.2
# Below this mean of requests per slot, differences are noise.
FEWEST_REQUESTS = 5.0


@frozen(kw_only=True)
class PeerLoad:
    """A peer's load report, corrected by the requests handed to the peer since.

    :param unreported: known change of the peer's requests since the load report.
    :param sent: requests sent to the peer that its load report doesn't count.
    """

    peer: str
    report: LoadReport
    unreported: int = 0
    sent: int = 0


@dataclass(frozen=True, kw_only=True)
class KeepRequest:
    """The request stays in the agent's own queue."""


@dataclass(frozen=True, kw_only=True)
class HandToPeer:
    """The request goes to a peer.

    :param gain_seconds: how much cheaper the request is there.
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
    """Requests handed to each peer that its load reports don't account for yet."""

    def __init__(self) -> None:
        self._sent: dict[str, list[SentRequest]] = {}

    def add(self, peer: str, *, now: float) -> SentRequest:
        """Record a request handed to a peer; :meth:`end` must record its end."""
        request = SentRequest(sent=now)
        self._sent.setdefault(peer, []).append(request)
        return request

    def end(self, request: SentRequest, *, now: float) -> None:
        """Record that a peer has finished a request."""
        request.ended = now

    def loads(self, reports: Sequence[PeerLoadReport]) -> tuple[PeerLoad, ...]:
        """Return the peers' loads, corrected for hand-offs since their load reports."""
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
            unreported=len(later) - ended,
            sent=len(later),
        )


def expected_seconds(report: LoadReport, *, unreported: int = 0) -> float:
    """Return the expected time of one more request at a host, in seconds.

    :param unreported: change of the host's requests that the load report lacks.
    """
    slots = max(report.slots, 1)
    ahead = max(0, report.running + report.waiting + unreported)
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

    A request is handed off when a peer is cheaper by the margin. The cost is the
    expected time of the request, adjusted by the recent work of the host compared
    with the mean. Of the cheaper peers, two are drawn at random and the better one
    is chosen, because agents with the same load reports must not all choose the
    same peer.

    :param own: the agent's present load report without the request itself.
    :param peers: fresh loads of peers of the same service.
    """
    match hand_off:
        case LoadHandOff(margin=margin):
            return _choose_better(margin, own=own, peers=peers, rng=rng)
    return KeepRequest()


@frozen(kw_only=True)
class FleetLoad:
    """Load figures over the hosts of a service.

    :param mean_per_slot: mean of the requests per slot, running or recently done.
    :param fastest_seconds: service time of the fastest host.
    """

    mean_per_slot: float
    fastest_seconds: float


def _choose_better(
    margin: float, *, own: LoadReport, peers: Sequence[PeerLoad], rng: random.Random
) -> HandOffDecision:
    usable = [load for load in peers if load.report.ready and not load.report.leaving]
    fleet = _measure_fleet(own, usable)
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


def _requests_per_slot(report: LoadReport, *, sent: int = 0) -> float:
    return (report.recent_completions + report.running + sent) / max(report.slots, 1)


def _measure_fleet(own: LoadReport, peers: Sequence[PeerLoad]) -> FleetLoad:
    per_slot = [_requests_per_slot(load.report, sent=load.sent) for load in peers]
    times = [load.report.service_seconds for load in peers]
    return FleetLoad(
        mean_per_slot=(_requests_per_slot(own) + sum(per_slot)) / (len(per_slot) + 1),
        fastest_seconds=min([own.service_seconds, *times]),
    )


def _cost_seconds(
    report: LoadReport, *, fleet: FleetLoad, unreported: int = 0, sent: int = 0
) -> float:
    """Return the cost of one more request at a host, in seconds.

    The cost is the expected time of the request, plus a charge for a host that has
    recently done more than the mean, or minus a credit for one that has done less.
    Both are bounded: a host that did little may be slow, and a host that did much
    must not be held back until the slow one has caught up.
    """
    excess = 0.0
    if fleet.mean_per_slot >= FEWEST_REQUESTS:
        excess = _requests_per_slot(report, sent=sent) / fleet.mean_per_slot - 1.0
    bounded_excess = min(max(excess, -LARGEST_CREDIT), LARGEST_CHARGE)
    adjustment = BALANCE_FACTOR * bounded_excess * fleet.fastest_seconds
    return expected_seconds(report, unreported=unreported) + adjustment


def _gain_seconds(
    load: PeerLoad, *, own: LoadReport, margin: float, fleet: FleetLoad
) -> float:
    """Return how many seconds a peer is cheaper than this host, less the margin."""
    peer_cost = _cost_seconds(
        load.report, fleet=fleet, unreported=load.unreported, sent=load.sent
    )
    if own.leaving or not own.ready:
        return 1.0 / (1.0 + max(peer_cost, 0.0))
    hysteresis = margin * min(own.service_seconds, load.report.service_seconds)
    return _cost_seconds(own, fleet=fleet) - peer_cost - hysteresis - DETOUR_SECONDS
