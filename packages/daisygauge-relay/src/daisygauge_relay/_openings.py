"""Opening packets at an agent: delivered to the upstream, passed on or refused."""

from __future__ import annotations

from collections.abc import Callable
from socket import inet_aton, inet_ntoa

from msgspec import Struct
from msgspec.structs import replace

from daisygauge_policy import (
    AskedAgent,
    CrossOpening,
    OpeningReason,
    OverflowDecision,
    PassOpening,
    RefuseOpening,
    ReturnOpening,
    TakeOpening,
    Utilization,
    VisitDecision,
    decide_opening,
    decide_overflow,
    decide_visit,
    is_short,
)
from daisygauge_wire import Frame, OfferFrame, OpenFrame, round_utilization

from . import _events as events
from ._candidates import CandidateLists
from ._flow_limits import FlowLimits
from ._flows import AgentFlow, FlowStage, FlowTable
from ._load import UpstreamLoad
from ._overflow import Overflow
from ._packet import PacketCodec, RelayedPacket, format_flow, service_endpoint
from ._passing import OpeningPasser, known_agent
from ._runtime import RelayRuntime
from ._upstream import Upstream

UPSTREAM_ANSWER_TIMEOUT_SECONDS = 0.05
"""Timeout for the upstream's answer to an opening packet. The upstream runs on the same
instance and answers within a millisecond; if it exceeds this, it is down or stalled."""
COPY_AGES_SECONDS = (0.0, 0.2, 0.6)
"""Age of a flow when its client sends each copy of its opening packet."""
DEFAULT_SLOTS = 2
"""Assumed slots of an upstream that is not in the directory."""
PENALTY_UTILIZATION = 0.5
"""Utilization that stands for one request of a penalty. It is that of a moderately
loaded upstream, so that a host that has just returned neither draws all new flows nor
repels them."""


class PendingOpening(Struct, kw_only=True):
    """An opening packet that was delivered to the upstream and not answered yet."""

    frame: OpenFrame
    packet: RelayedPacket


class Openings:
    """Decides on opening packets and tracks those delivered to the upstream.

    :param running: returns the number of requests that run at the upstream or wait for
        it, at a monotonic time.
    :param utilization: estimates the upstream's utilization.
    :param limits: limits on the flows that the upstream takes.
    :param record_asked: records an opening packet that arrives, at a monotonic time.
    :param deliver: sends a packet to the upstream.
    :param send: sends a frame to another instance.
    :param reset: sends a client the reset of a flow that isn't open.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        codec: PacketCodec,
        upstream: Upstream,
        flows: FlowTable[AgentFlow],
        running: Callable[[float], int],
        utilization: Utilization,
        limits: FlowLimits,
        record_asked: Callable[[OpenFrame, float], None],
        deliver: Callable[[bytes], None],
        send: Callable[[bytes, Frame], None],
        reset: Callable[[bytes], None],
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.upstream = upstream
        self.flows = flows
        self.load = UpstreamLoad(flows=flows, running=running)
        self.utilization = utilization
        self.limits = limits
        self.record_asked = record_asked
        self.deliver = deliver
        self.send = send
        self.reset = reset
        self.own_address = inet_aton(runtime.settings.host)
        self.candidates = CandidateLists()
        self.overflow = Overflow(runtime=runtime, candidates=self.candidates)
        self.passing = OpeningPasser(runtime=runtime, send=send)
        self.pending: dict[bytes, PendingOpening] = {}

    def receive(self, frame: OpenFrame, packet: RelayedPacket, *, now: float) -> None:
        """Handle an opening packet from a balancer or another agent."""
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.stage in (FlowStage.OFFERED, FlowStage.OPEN):
            if self.limits.find_inability(now=now) is None:
                # The upstream's answer was lost; it sends the same one again.
                self.limits.record_taken(now=now)
                self.deliver(frame.packet)
                return
            if flow.stage is FlowStage.OPEN:
                self.runtime.counters.count_dropped("opening-limited")
                return
            # Another upstream may answer this copy; none may reset the flow.
            frame = replace(frame, unanswered=True)
        if self.upstream.awaits_evacuations:
            self.drop_early(packet)
            return
        self.record_asked(frame, now)
        load = self.load.count(now=now)
        weighed = self.limits.weigh(load, now=now)
        own = AskedAgent(
            agent=self.own_address,
            load=weighed,
            slots=DEFAULT_SLOTS if self.upstream.slots is None else self.upstream.slots,
            inability=self.find_inability(frame, packet, now=now),
            reluctance=self.limits.find_reluctance(now=now),
            utilization=self.estimate_utilization(
                packet, load=load, penalty=weighed - load, now=now
            ),
        )
        if own.inability is OpeningReason.EVACUATED:
            self.runtime.evacuations.record_arrival(self.upstream.failure_domain)
        self.decide(frame, packet, own, now=now)

    def drop_early(self, packet: RelayedPacket) -> None:
        """Drop an opening packet that arrives before the directory has been read.

        Without a reset, the client's copy 200 ms later goes to another agent.
        """
        self.runtime.counters.count_dropped("no-directory")
        self.runtime.log.write(
            events.OPENING_EARLY,
            flow=format_flow(packet.flow),
            copy=packet.copy,
            **self.runtime.known_state(),
        )

    def estimate_utilization(
        self, packet: RelayedPacket, *, load: int, penalty: int, now: float
    ) -> float | None:
        """Return the upstream's utilization with a new flow, or None.

        A repeated opening packet goes by the load, which asks fewer agents: one on the
        way of an earlier copy may be dead.

        :param penalty: requests by which the upstream counts as busier than it is.
        """
        if packet.copy:
            return None
        host = self.upstream.host_record
        if host is not None:
            self.utilization.observe_incarnation((host.id, host.incarnation), now=now)
        kind = service_endpoint(packet.flow)
        utilization = self.utilization.estimate_after(kind, load=load, now=now)
        if utilization is None:
            return None
        return round_utilization(utilization + PENALTY_UTILIZATION * penalty)

    def find_inability(
        self, frame: OpenFrame, packet: RelayedPacket, *, now: float
    ) -> OpeningReason | None:
        """Return why the upstream can't take a flow at all, or None."""
        is_visit = frame.home_service is not None
        if is_visit and not self.overflow.is_allowed(frame, packet.flow):
            return OpeningReason.OTHER_SERVICE
        return self.upstream.find_inability(
            frame.service
        ) or self.limits.find_inability(now=now)

    def decide(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Decide on an opening packet and carry the decision out."""
        if frame.home_service is None:
            self.decide_at_home(frame, packet, own, now=now)
        else:
            self.decide_as_visited(frame, packet, own, now=now)

    def decide_at_home(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Decide at an agent of the service that the flow was placed for."""
        best = frame.best and known_agent(frame.best)
        decision = decide_opening(
            own=own,
            candidates=self.candidates.order(frame.service, packet.flow),
            tried=frame.tried,
            hops=frame.hops,
            best=best,
            final=frame.final,
        )
        if is_short(decision, own=own):
            other = self.overflow.find_other(frame, packet.flow)
            decision = decide_overflow(decision, own=own, other=other)
        self.carry_out(decision, frame, packet, own, now=now)

    def decide_as_visited(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Decide at an agent of the service that the flow may overflow to."""
        decision = decide_visit(
            own=own,
            candidates=self.candidates.order(frame.service, packet.flow),
            tried=frame.tried,
            hops=frame.hops,
            home=frame.best.agent,
        )
        self.carry_out(decision, frame, packet, own, now=now)

    def carry_out(
        self,
        decision: OverflowDecision | VisitDecision,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        *,
        now: float,
    ) -> None:
        """Carry out a decision on an opening packet."""
        match decision:
            case TakeOpening():
                self.take(frame, packet, own, now=now)
            case PassOpening():
                frame = self.probe_upstream(frame, own, now=now)
                self.passing.pass_on(frame, packet, own, decision)
            case CrossOpening():
                frame = self.probe_upstream(frame, own, now=now)
                self.passing.offer(frame, packet, own, decision)
            case ReturnOpening():
                frame = self.probe_upstream(frame, own, now=now)
                self.passing.give_back(frame, packet, own, decision)
            case RefuseOpening():
                self.refuse(frame, packet, decision)

    def take(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Deliver an opening packet to the upstream."""
        entry = AgentFlow(
            balancer=frame.balancer,
            opening_at=now - copy_age(packet),
            last_packet_at=now,
        )
        self.flows.add(packet.flow, entry, now=now)
        self.pending[packet.flow] = PendingOpening(frame=frame, packet=packet)
        self.load.expect(packet.flow, now=now)
        kind = service_endpoint(packet.flow)
        self.utilization.add_flow(packet.flow, kind, now=now)
        self.limits.record_taken(now=now)
        self.runtime.counters.taken += 1
        self.runtime.log.write(
            events.OPENING_TAKEN,
            flow=format_flow(packet.flow),
            load=own.load,
            slots=own.slots,
            utilization=own.utilization,
            hops=frame.hops,
            **self.runtime.known_state(),
        )
        if frame.home_service is not None:
            self.record_overflow(frame, packet, own)
        self.deliver(frame.packet)
        self.runtime.call_later(
            UPSTREAM_ANSWER_TIMEOUT_SECONDS, lambda: self.check_offer(packet.flow)
        )

    def record_overflow(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent
    ) -> None:
        """Record that this upstream takes a flow of the route's other service."""
        self.runtime.counters.overflowed += 1
        self.runtime.log.write(
            events.OPENING_OVERFLOWED,
            flow=format_flow(packet.flow),
            home=inet_ntoa(frame.best.agent),
            home_load=frame.best.load,
            load=own.load,
            slots=own.slots,
            **self.runtime.known_state(),
        )

    def check_offer(self, flow: bytes) -> None:
        """Pass on an opening packet that the upstream has not answered in time."""
        opening = self.pending.pop(flow, None)
        if opening is None:
            return
        now = self.runtime.now()
        # The entry stays: a late answer must still be reported to its balancer.
        self.utilization.end_flow(flow, now=now)
        self.upstream.record_silence(now=now)
        opening.frame = replace(opening.frame, unanswered=True)
        self.decide_again(opening, OpeningReason.SILENT, now=now)

    def handle_returned(self, flow: bytes, *, now: float) -> None:
        """Pass on an opening packet that the upstream has returned."""
        opening = self.pending.pop(flow, None)
        self.flows.drop(flow)
        if opening is not None:
            self.decide_again(opening, OpeningReason.FULL, now=now)

    def decide_again(
        self, opening: PendingOpening, reason: OpeningReason, *, now: float
    ) -> None:
        """Decide again on an opening packet that the upstream did not accept.

        :param reason: why this agent can't take it.
        """
        # The view may have changed since the packet arrived.
        self.candidates.update(self.runtime.directory.view)
        own = AskedAgent(
            agent=self.own_address,
            load=self.load.count(now=now),
            slots=0,
            inability=reason,
        )
        self.decide(opening.frame, opening.packet, own, now=now)

    def probe_upstream(
        self, frame: OpenFrame, own: AskedAgent, *, now: float
    ) -> OpenFrame:
        """Probe a silent upstream with a packet that is passed on as well.

        At most one probe is sent in ``PROBE_INTERVAL_SECONDS``.
        """
        if own.inability is not OpeningReason.SILENT or self.upstream.is_evacuated:
            return frame
        if self.limits.find_inability(now=now) is not None:
            return frame
        if not self.upstream.begin_probe(now=now):
            return frame
        self.limits.record_taken(now=now)
        self.deliver(frame.packet)
        return replace(frame, unanswered=True)

    def refuse(
        self, frame: OpenFrame, packet: RelayedPacket, decision: RefuseOpening
    ) -> None:
        """Reset a flow that no upstream takes, unless one may still answer.

        An upstream that received this packet or an earlier copy may still answer, and
        a reset would then cut an open flow.
        """
        is_uncertain = frame.unanswered or packet.copy > 0
        event = events.OPENING_UNCERTAIN if is_uncertain else events.OPENING_REFUSED
        self.runtime.log.write(
            event,
            flow=format_flow(packet.flow),
            reason=decision.reason.value,
            **self.runtime.known_state(),
        )
        if is_uncertain:
            self.runtime.counters.count_dropped("opening-uncertain")
            return
        self.runtime.counters.count_refused(decision.reason.value)
        self.reset(packet.flow)

    def report_offer(
        self, flow: AgentFlow, packet: RelayedPacket, *, now: float
    ) -> None:
        """Report the upstream's answer to the balancer."""
        self.pending.pop(packet.flow, None)
        flow.sequence = packet.sequence
        if flow.stage is FlowStage.ASKED:
            flow.stage = FlowStage.OFFERED
        offer = OfferFrame(
            flow=packet.flow,
            sequence=packet.sequence,
            load=self.load.count(now=now),
            slots=self.upstream.slots or DEFAULT_SLOTS,
        )
        self.send(flow.balancer, offer)


def copy_age(packet: RelayedPacket) -> float:
    """Return the age in seconds of a flow whose client has just sent a copy."""
    return COPY_AGES_SECONDS[min(packet.copy, len(COPY_AGES_SECONDS) - 1)]
