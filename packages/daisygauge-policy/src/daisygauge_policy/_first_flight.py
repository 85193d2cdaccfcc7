"""Whether an agent keeps the first flight of a new flow or passes it on."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from boltons.cacheutils import LRU

from daisygauge_records import Endpoint, Placement, RendezvousPlacement
from daisygauge_wire import MAX_HOPS, LoadReport

# A smaller difference in connections isn't worth another hop.
CONNECTION_SLACK = 4
REMEMBERED_SECONDS = 5.0
REMEMBERED_FLIGHTS = 4_096


class FlightReason(enum.Enum):
    """Why an agent passes a first flight on or refuses it."""

    LESS_LOADED = "less-loaded"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class AcceptFlight:
    """The agent takes the flow."""


@dataclass(frozen=True, kw_only=True)
class PassFlight:
    """The flight is passed on to another agent.

    :param candidates: agents to which the target may pass it on.
    """

    target: Endpoint
    candidates: tuple[Endpoint, ...]
    reason: FlightReason


@dataclass(frozen=True, kw_only=True)
class RefuseFlight:
    """The agent can't take the flow, and no other agent may be asked."""

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
    """Decide whether an agent accepts, passes on or refuses a new flow.

    The decision is made at the agent, where its load is known best. An agent that is
    not ready still accepts when no other agent can be asked: requests then get a
    truthful answer instead of none.

    :param own: the agent's present load report.
    :param candidates: other agents named by the balancer, in order.
    :param reports: fresh load reports of peers by agent address.
    :param hops: times that the flight was passed on before.
    """
    inability = _find_inability(own)
    others = [target for target in candidates if _may_take(reports.get(target))]
    if hops < MAX_HOPS and others:
        target = _choose_target(others, reports=reports)
        if inability is not None:
            return _pass_to(target, candidates, reason=inability)
        if _is_better(reports.get(target), own=own, placement=placement):
            return _pass_to(target, candidates, reason=FlightReason.LESS_LOADED)
    if inability in (FlightReason.LEAVING, FlightReason.FULL):
        return RefuseFlight(reason=inability)
    return AcceptFlight()


def _find_inability(own: LoadReport) -> FlightReason | None:
    if own.leaving:
        return FlightReason.LEAVING
    if own.connections >= own.max_connections:
        return FlightReason.FULL
    return None if own.ready else FlightReason.NOT_READY


def _may_take(report: LoadReport | None) -> bool:
    """Tell whether a candidate may take a flow; one without a load report may."""
    return report is None or _find_inability(report) is None


def _choose_target(
    targets: Sequence[Endpoint], *, reports: Mapping[Endpoint, LoadReport]
) -> Endpoint:
    """Return the least filled target, or the first if none has a load report."""
    reported = [target for target in targets if target in reports]
    return min(
        reported,
        key=lambda target: reports[target].connection_utilization,
        default=targets[0],
    )


def _is_better(
    peer: LoadReport | None, *, own: LoadReport, placement: Placement
) -> bool:
    match placement:
        case RendezvousPlacement(pass_margin=float() as margin) if peer is not None:
            allowed = peer.connection_utilization * (1.0 + margin) * own.max_connections
            return own.connections > allowed + CONNECTION_SLACK
    return False


def _pass_to(
    target: Endpoint, candidates: Sequence[Endpoint], *, reason: FlightReason
) -> PassFlight:
    rest = tuple(candidate for candidate in candidates if candidate != target)
    return PassFlight(target=target, candidates=rest, reason=reason)


class PassedFlights:
    """The targets of passed flights, so that later packets of a flow follow it."""

    def __init__(self) -> None:
        self._flights: LRU = LRU(max_size=REMEMBERED_FLIGHTS)

    def record(self, flow_key: bytes, *, decision: PassFlight, now: float) -> None:
        """Record to which agent a flight was passed."""
        self._flights[flow_key] = (decision, now)

    def find(self, flow_key: bytes, *, now: float) -> PassFlight | None:
        """Return the decision on a flight passed within ``REMEMBERED_SECONDS``."""
        decision, passed_at = self._flights.get(flow_key, (None, 0.0))
        return decision if now - passed_at <= REMEMBERED_SECONDS else None
