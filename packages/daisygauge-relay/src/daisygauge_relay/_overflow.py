"""Services of split routes that a flow may overflow to."""

from __future__ import annotations

from daisygauge_control import RouteRecord
from daisygauge_policy import OtherService
from daisygauge_wire import OpenFrame

from ._candidates import (
    CandidateLists,
    choose_other_service,
    find_route,
    route_tag,
    service_tag,
)
from ._packet import service_host, service_port
from ._runtime import RelayRuntime
from ._settings import EVERY_ROUTE


class Overflow:
    """Finds a flow's other service, and checks whether it may go there."""

    def __init__(self, *, runtime: RelayRuntime, candidates: CandidateLists) -> None:
        self.runtime = runtime
        self.candidates = candidates

    def find_other(self, frame: OpenFrame, flow: bytes) -> OtherService | None:
        """Return the service that a flow may cross to, or None."""
        route = find_route(self.runtime.directory.view, flow)
        if route is None or frame.has_crossed or self.has_fixed_weights(flow):
            return None
        if not names_same_services(route, frame):
            return None
        service = choose_other_service(route, flow, frame.service)
        if service is None:
            return None
        tag = service_tag(service)
        return OtherService(service=tag, agents=self.candidates.order(tag, flow))

    def has_fixed_weights(self, flow: bytes) -> bool:
        """Return True when the settings forbid overflow on a flow's route."""
        fixed = self.runtime.settings.fixed_weight_routes
        if not fixed:
            return False
        address = f"{service_host(flow)}:{service_port(flow)}"
        return EVERY_ROUTE in fixed or address in fixed

    def is_allowed(self, frame: OpenFrame, flow: bytes) -> bool:
        """Return True when this agent's view also allows a flow to visit its service.

        The agent that offered the flow may know another version of the route.
        """
        route = find_route(self.runtime.directory.view, flow)
        if route is None or not names_same_services(route, frame):
            return False
        shares = {
            service_tag(share.service) for share in route.shares if share.weight > 0.0
        }
        return {frame.service, frame.home_service} <= shares


def names_same_services(route: RouteRecord, frame: OpenFrame) -> bool:
    """Return True when the balancer's version of a route names the same services.

    A balancer may know a newer version, which withdraws a service that is still named
    here, or an older one. A flow doesn't cross then, so that all flows of a balancer
    are served as its own version allows.
    """
    return frame.route_tag is None or frame.route_tag == route_tag(route)
