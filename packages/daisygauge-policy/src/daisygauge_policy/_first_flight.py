"""Whether an agent keeps the first flight of a new flow or passes it on."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from boltons.cacheutils import LRU

from daisygauge_records import Endpoint, Placement, RendezvousPlacement
from daisygauge_wire import MAX_HOPS, LoadReport

# Differences of fewer connections than this are not worth a hop.
CONNECTION_SLACK = 4
REMEMBERED_SECONDS = 5.0
REMEMBERED_FLIGHTS = 4_096


class FlightReason(enum.Enum):
    """Why a first flight does not stay."""

    LESS_LOADED = "less-loaded"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class AcceptFlight:
    """The agent takes the flow."""


@dataclass(frozen=True, kw_only=True)
class PassFlight:
    """The flight goes on to another agent.

    :param candidates: agents that the target may still pass it to.
    """

    target: Endpoint
    candidates: tuple[Endpoint, ...]
    reason: FlightReason


@dataclass(frozen=True, kw_only=True)
class RefuseFlight:
    """The agent can't take the flow, and nobody else may be asked."""

    reason: FlightReason


FlightDecision = AcceptFlight | PassFlight | RefuseFlight


def decide_first_flight(
    *,
    placement: Placement,
    own: LoadReport,
    candidates: Sequence[Endpoint],
    reports: Mapping[Endpoint, LoadReport],
    hops: int,
) -> FlightDecision:
    """Decide on a new flow where the load is known best.

    A host that is not ready still accepts when nobody else can be asked: its
    requests then get a truthful answer instead of silence.

    :param own: the agent's present load report.
    :param candidates: other agents named by the balancer, in order.
    :param reports: fresh load reports of peers by agent address.
    :param hops: how often the flight was passed on already.
    """
    unable = _find_inability(own)
    others = [target for target in candidates if _may_take(reports.get(target))]
    if hops < MAX_HOPS and others:
        target = _choose_target(others, reports=reports)
        if unable is not None:
            return _pass_to(target, candidates, reason=unable)
        if _is_better(reports.get(target), own=own, placement=placement):
            return _pass_to(target, candidates, reason=FlightReason.LESS_LOADED)
    if unable in (FlightReason.LEAVING, FlightReason.FULL):
        return RefuseFlight(reason=unable)
    return AcceptFlight()


def _find_inability(own: LoadReport) -> FlightReason | None:
    if own.leaving:
        return FlightReason.LEAVING
    if own.connections >= own.max_connections:
        return FlightReason.FULL
    return None if own.ready else FlightReason.NOT_READY


def _may_take(report: LoadReport | None) -> bool:
    """Tell whether a candidate may take a flow; one not heard of may."""
    return report is None or _find_inability(report) is None


def _choose_target(
    targets: Sequence[Endpoint], *, reports: Mapping[Endpoint, LoadReport]
) -> Endpoint:
    """Return the emptiest target with a load report, else the first."""
    heard = [target for target in targets if target in reports]
    return min(heard, key=lambda target: reports[target].fill, default=targets[0])


def _is_better(
    peer: LoadReport | None, *, own: LoadReport, placement: Placement
) -> bool:
    match placement:
        case RendezvousPlacement(pass_margin=float() as margin) if peer is not None:
            allowed = peer.fill * (1.0 + margin) * own.max_connections
            return own.connections > allowed + CONNECTION_SLACK
    return False


def _pass_to(
    target: Endpoint, candidates: Sequence[Endpoint], *, reason: FlightReason
) -> PassFlight:
    rest = tuple(candidate for candidate in candidates if candidate != target)
    return PassFlight(target=target, candidates=rest, reason=reason)


class PassedFlights:
    """Where flights were passed, so that their later packets follow."""

    def __init__(self) -> None:
        self._flights: LRU = LRU(max_size=REMEMBERED_FLIGHTS)

    def record(self, flow_key: bytes, *, decision: PassFlight, now: float) -> None:
        """Note where a flight went."""
        self._flights[flow_key] = (decision, now)

    def find(self, flow_key: bytes, *, now: float) -> PassFlight | None:
        """Return where a flight went within ``REMEMBERED_SECONDS``."""
        decision, at = self._flights.get(flow_key, (None, 0.0))
        return decision if now - at <= REMEMBERED_SECONDS else None
