"""Whether a first flight is served here."""

from __future__ import annotations

import dataclasses

from daisygauge_records import Endpoint
from daisygauge_wire import MAX_HOPS, Datagram, PlacedStatus


@dataclasses.dataclass(frozen=True, kw_only=True)
class AcceptFlight:
    """Serve the connection here."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PassFlight:
    """Offer the connection to a peer."""

    peer: Endpoint
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefuseFlight:
    """Refuse the connection; the balancer tries its next candidate."""

    status: PlacedStatus


FlightDecision = AcceptFlight | PassFlight | RefuseFlight


def choose_flight(
    datagram: Datagram, *, own: Endpoint, obstacle: PlacedStatus | None
) -> FlightDecision:
    """Accept unless there is an obstacle; then pass on to the next candidate."""
    if obstacle is None:
        return AcceptFlight()
    others = [peer for peer in datagram.candidates if peer != own]
    if others and datagram.hops < MAX_HOPS:
        return PassFlight(peer=others[0], reason=obstacle.name.lower())
    return RefuseFlight(status=obstacle)
