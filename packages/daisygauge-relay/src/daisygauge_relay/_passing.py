"""Opening packets that an agent hands to another agent."""

from __future__ import annotations

from collections.abc import Callable
from socket import inet_ntoa

from msgspec.structs import replace

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    CrossOpening,
    OpeningReason,
    PassOpening,
    ReturnOpening,
)
from daisygauge_wire import MAX_TRIED, AgentLoad, Frame, OpenFrame

from . import _events as events
from ._packet import RelayedPacket, format_flow
from ._runtime import RelayRuntime


class OpeningPasser:
    """Builds and sends the frames of opening packets that this agent doesn't take.

    :param send: sends a frame to another instance.
    """

    def __init__(
        self, *, runtime: RelayRuntime, send: Callable[[bytes, Frame], None]
    ) -> None:
        self.runtime = runtime
        self.send = send

    def pass_on(
        self,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        decision: PassOpening,
    ) -> None:
        """Pass an opening packet on to another agent of the same service."""
        passed = replace(
            frame,
            tried=decision.tried[-MAX_TRIED:],
            hops=frame.hops + 1,
            best=find_best(frame, own),
            final=decision.final,
        )
        self.forward(passed, packet, own, decision.target, decision.reason)

    def offer(
        self,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        decision: CrossOpening,
    ) -> None:
        """Offer a flow to the route's other service."""
        offered = replace(
            frame,
            service=decision.service,
            home_service=frame.service,
            tried=(),
            hops=0,
            best=AgentLoad(agent=own.agent, load=own.load),
            final=False,
        )
        self.forward(offered, packet, own, decision.target, OpeningReason.OVERFLOW)

    def give_back(
        self,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        decision: ReturnOpening,
    ) -> None:
        """Give a flow back to the agent that offered it to this service."""
        returned = replace(
            frame,
            service=frame.home_service,
            home_service=None,
            tried=(),
            hops=0,
            best=None,
            final=True,
            has_crossed=True,
        )
        self.forward(returned, packet, own, decision.target, OpeningReason.NO_FREE_SLOT)

    def forward(
        self,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        target: bytes,
        reason: OpeningReason,
    ) -> None:
        """Send an opening packet to another agent.

        :param frame: the frame that the other agent receives.
        """
        self.runtime.counters.passed += 1
        self.runtime.counters.passed_by_reason[reason.value] += 1
        self.runtime.log.write(
            events.OPENING_PASSED,
            flow=format_flow(packet.flow),
            reason=reason.value,
            target=inet_ntoa(target),
            load=own.load,
            utilization=own.utilization,
            hops=frame.hops,
            **self.runtime.known_state(),
        )
        self.send(target, frame)


def find_best(frame: OpenFrame, own: AskedAgent) -> AgentLoad | None:
    """Return the agent that takes the flow if no other has a free slot, or None."""
    best = frame.best
    is_visit = frame.home_service is not None
    if is_visit or not own.is_willing:
        return best
    if best is not None and not own.is_less_used(known_agent(best)):
        return best
    return AgentLoad(agent=own.agent, load=own.load, utilization=own.utilization)


def known_agent(best: AgentLoad) -> BusyAgent:
    """Return the agent that a frame names as the best one so far."""
    return BusyAgent(agent=best.agent, load=best.load, utilization=best.utilization)
