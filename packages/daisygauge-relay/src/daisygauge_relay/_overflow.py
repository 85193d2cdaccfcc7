"""Opening packets of split routes between the agents of the route's services."""

from __future__ import annotations

from socket import inet_aton

from msgspec.structs import replace

from daisygauge_policy import CrossOpening, OtherService
from daisygauge_wire import AgentLoad, OpenFrame

from ._candidates import (
    CandidateLists,
    choose_other_service,
    find_route,
    service_tag,
)
from ._packet import service_host, service_port
from ._runtime import RelayRuntime
from ._settings import EVERY_ROUTE


class Overflow:
    """Finds a flow's other service and builds the frames that cross services."""

    def __init__(self, *, runtime: RelayRuntime, candidates: CandidateLists) -> None:
        self.runtime = runtime
        self.candidates = candidates
        self.own_address = inet_aton(runtime.settings.host)

    def find_other(self, frame: OpenFrame, flow: bytes) -> OtherService | None:
        """Return the service that a flow may cross to, or None."""
        route = find_route(self.runtime.directory.view, flow)
        if route is None or frame.has_crossed or self.has_fixed_weights(flow):
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
        if route is None:
            return False
        shares = {
            service_tag(share.service) for share in route.shares if share.weight > 0.0
        }
        return {frame.service, frame.home_service} <= shares

    def offer(
        self, frame: OpenFrame, decision: CrossOpening, *, load: int
    ) -> OpenFrame:
        """Return the frame that offers a flow to the route's other service.

        :param load: requests running or expected at this agent's upstream.
        """
        return replace(
            frame,
            service=decision.service,
            home_service=frame.service,
            tried=(),
            hops=0,
            best=AgentLoad(agent=self.own_address, load=load),
            final=False,
        )

    def give_back(self, frame: OpenFrame) -> OpenFrame:
        """Return the frame that gives a flow back to the agent that offered it."""
        return replace(
            frame,
            service=frame.home_service,
            home_service=None,
            tried=(),
            hops=0,
            best=None,
            final=True,
            has_crossed=True,
        )
