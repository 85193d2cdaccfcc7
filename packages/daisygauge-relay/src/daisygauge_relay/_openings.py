"""Opening packets at an agent: delivered to the upstream, passed on or refused."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from socket import inet_aton, inet_ntoa

from msgspec import Struct
from msgspec.structs import replace

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    OpeningReason,
    PassOpening,
    RefuseOpening,
    TakeOpening,
    decide_opening,
)
from daisygauge_wire import MAX_TRIED, AgentLoad, Frame, OfferFrame, OpenFrame

from . import _events as events
from ._candidates import CandidateLists
from ._flows import AgentFlow, FlowStage, FlowTable
from ._packet import PacketCodec, RelayedPacket, format_flow
from ._runtime import RelayRuntime
from ._upstream import Upstream

UPSTREAM_ANSWER_TIMEOUT_SECONDS = 0.05
"""Timeout for the upstream's answer to an opening packet. The upstream runs on the same
instance and answers within a millisecond; if it exceeds this, it is down or stalled."""
EXPECTED_REQUEST_SECONDS = 0.1
"""How long an accepted flow counts as load before its first request, which follows the
opening within two network crossings."""
COPY_AGES_SECONDS = (0.0, 0.2, 0.6)
"""Age of a flow when its client sends each copy of its opening packet."""
DEFAULT_SLOTS = 2
"""Assumed slots of an upstream that is not in the directory."""


class PendingOpening(Struct, kw_only=True):
    """An opening packet that was delivered to the upstream and not answered yet."""

    frame: OpenFrame
    packet: RelayedPacket


class Openings:
    """Decides on opening packets and tracks those delivered to the upstream.

    :param running: returns the number of requests that run at the upstream or wait for
        it, at a monotonic time.
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
        deliver: Callable[[bytes], None],
        send: Callable[[bytes, Frame], None],
        reset: Callable[[bytes], None],
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.upstream = upstream
        self.flows = flows
        self.running = running
        self.deliver = deliver
        self.send = send
        self.reset = reset
        self.own_address = inet_aton(runtime.settings.host)
        self.candidates = CandidateLists()
        self.pending: dict[bytes, PendingOpening] = {}
        self.expected: deque[tuple[float, bytes]] = deque()

    def receive(self, frame: OpenFrame, packet: RelayedPacket, *, now: float) -> None:
        """Handle an opening packet from a balancer or another agent."""
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.stage in (FlowStage.OFFERED, FlowStage.OPEN):
            # The upstream's answer was lost; it sends the same one again.
            self.deliver(frame.packet)
            return
        own = AskedAgent(
            agent=self.own_address,
            load=self.load(now=now),
            slots=DEFAULT_SLOTS if self.upstream.slots is None else self.upstream.slots,
            inability=self.upstream.find_inability(frame.service),
        )
        self.decide(frame, packet, own, now=now)

    def load(self, *, now: float) -> int:
        """Return the number of requests that run, wait or are expected soon."""
        while self.expected and now - self.expected[0][0] > EXPECTED_REQUEST_SECONDS:
            self.expected.popleft()
        expected = sum(1 for _, flow in self.expected if self.is_expected(flow))
        return self.running(now) + expected

    def is_expected(self, flow: bytes) -> bool:
        """Return True while a flow's first request has not arrived."""
        entry = self.flows.get(flow)
        return (
            entry is not None
            and entry.client_next is None
            and entry.stage is not FlowStage.CLOSED
        )

    def decide(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Decide on an opening packet and carry the decision out."""
        order = self.candidates.order(frame.service, packet.flow)
        best = frame.best and BusyAgent(agent=frame.best.agent, load=frame.best.load)
        decision = decide_opening(
            own=own,
            candidates=order,
            tried=frame.tried,
            hops=frame.hops,
            best=best,
            final=frame.final,
        )
        match decision:
            case TakeOpening():
                self.take(frame, packet, own, now=now)
            case PassOpening():
                if own.inability is OpeningReason.SILENT:
                    frame = self.probe_upstream(frame, now=now)
                self.pass_on(frame, packet, own, decision)
            case RefuseOpening():
                self.refuse(frame, packet, decision)

    def take(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Deliver an opening packet to the upstream."""
        age = COPY_AGES_SECONDS[min(packet.copy, len(COPY_AGES_SECONDS) - 1)]
        entry = AgentFlow(
            balancer=frame.balancer, opening_at=now - age, last_packet_at=now
        )
        self.flows.add(packet.flow, entry, now=now)
        self.pending[packet.flow] = PendingOpening(frame=frame, packet=packet)
        self.expected.append((now, packet.flow))
        self.runtime.counters.taken += 1
        self.runtime.log.write(
            events.OPENING_TAKEN,
            flow=format_flow(packet.flow),
            load=own.load,
            slots=own.slots,
            hops=frame.hops,
            **self.runtime.known_state(),
        )
        self.deliver(frame.packet)
        self.runtime.call_later(
            UPSTREAM_ANSWER_TIMEOUT_SECONDS, lambda: self.check_offer(packet.flow)
        )

    def check_offer(self, flow: bytes) -> None:
        """Pass on an opening packet that the upstream has not answered in time."""
        opening = self.pending.pop(flow, None)
        if opening is None:
            return
        now = self.runtime.now()
        # The entry stays: a late answer must still be reported to its balancer.
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
        own = AskedAgent(
            agent=self.own_address, load=self.load(now=now), slots=0, inability=reason
        )
        self.decide(opening.frame, opening.packet, own, now=now)

    def probe_upstream(self, frame: OpenFrame, *, now: float) -> OpenFrame:
        """Probe a silent upstream with a packet that is passed on as well.

        At most one probe is sent in ``PROBE_INTERVAL_SECONDS``.
        """
        if not self.upstream.begin_probe(now=now):
            return frame
        self.deliver(frame.packet)
        return replace(frame, unanswered=True)

    def pass_on(
        self,
        frame: OpenFrame,
        packet: RelayedPacket,
        own: AskedAgent,
        decision: PassOpening,
    ) -> None:
        """Pass an opening packet on to another agent."""
        self.runtime.counters.passed += 1
        self.runtime.log.write(
            events.OPENING_PASSED,
            flow=format_flow(packet.flow),
            reason=decision.reason.value,
            target=inet_ntoa(decision.target),
            load=own.load,
            hops=frame.hops,
            **self.runtime.known_state(),
        )
        best = frame.best
        if own.inability is None and (best is None or own.load < best.load):
            best = AgentLoad(agent=self.own_address, load=own.load)
        passed = replace(
            frame,
            tried=decision.tried[-MAX_TRIED:],
            hops=frame.hops + 1,
            best=best,
            final=decision.final,
        )
        self.send(decision.target, passed)

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
            load=self.load(now=now),
            slots=self.upstream.slots or DEFAULT_SLOTS,
        )
        self.send(flow.balancer, offer)
