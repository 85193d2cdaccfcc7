"""Opening packets at an agent: given to the upstream, passed on or refused."""

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
from ._packet import PacketCodec, RelayedPacket, flow_name
from ._runtime import RelayRuntime
from ._upstream import Upstream

OFFER_SECONDS = 0.05
"""An upstream on the same instance answers an opening packet within a millisecond;
one that has not by now is down or stands still."""
EXPECTED_SECONDS = 0.1
"""A flow's first request follows its opening within two crossings."""
COPY_SECONDS = (0.0, 0.2, 0.6)
"""Age of a flow when its client sends each copy of the opening packet."""
UNKNOWN_SLOTS = 2
"""Slots of an upstream that has not announced itself."""


class AskedOpening(Struct, kw_only=True):
    """An opening packet that the upstream has not answered yet."""

    frame: OpenFrame
    packet: RelayedPacket


class Openings:
    """Decides on opening packets and follows those that the upstream was given.

    :param running: tells how many requests are at the upstream or wait for it, at a
        monotonic time.
    :param deliver: gives a packet to the upstream.
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
        self.own = inet_aton(runtime.settings.host)
        self.candidates = CandidateLists()
        self.asked: dict[bytes, AskedOpening] = {}
        self.expected: deque[tuple[float, bytes]] = deque()

    def receive(self, frame: OpenFrame, packet: RelayedPacket, *, now: float) -> None:
        """Take an opening packet, or pass it on."""
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.stage in (FlowStage.OFFERED, FlowStage.OPEN):
            # The upstream's answer was lost; it gives the same one again.
            self.deliver(frame.packet)
            return
        own = AskedAgent(
            agent=self.own,
            load=self.load(now=now),
            slots=UNKNOWN_SLOTS if self.upstream.slots is None else self.upstream.slots,
            inability=self.upstream.find_inability(frame.service),
        )
        self.decide(frame, packet, own, now=now)

    def load(self, *, now: float) -> int:
        """Return the requests that run at the upstream or are about to."""
        while self.expected and now - self.expected[0][0] > EXPECTED_SECONDS:
            self.expected.popleft()
        expected = sum(1 for _, flow in self.expected if self.is_expected(flow))
        return self.running(now) + expected

    def is_expected(self, flow: bytes) -> bool:
        """Tell whether a flow's first request is on its way."""
        entry = self.flows.get(flow)
        return (
            entry is not None
            and entry.client_next is None
            and entry.stage is not FlowStage.CLOSED
        )

    def decide(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Carry out the decision on an opening packet."""
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
                    frame = self.try_upstream(frame, now=now)
                self.pass_on(frame, packet, own, decision)
            case RefuseOpening():
                self.refuse(frame, packet, decision)

    def take(
        self, frame: OpenFrame, packet: RelayedPacket, own: AskedAgent, *, now: float
    ) -> None:
        """Give an opening packet to the upstream."""
        age = COPY_SECONDS[min(packet.copy, len(COPY_SECONDS) - 1)]
        entry = AgentFlow(balancer=frame.balancer, began=now - age, seen=now)
        self.flows.add(packet.flow, entry, now=now)
        self.asked[packet.flow] = AskedOpening(frame=frame, packet=packet)
        self.expected.append((now, packet.flow))
        self.runtime.counters.taken += 1
        self.runtime.log.write(
            events.OPENING_TAKEN,
            flow=flow_name(packet.flow),
            load=own.load,
            slots=own.slots,
            hops=frame.hops,
            **self.runtime.belief(),
        )
        self.deliver(frame.packet)
        self.runtime.call_later(OFFER_SECONDS, lambda: self.check_offer(packet.flow))

    def check_offer(self, flow: bytes) -> None:
        """Pass an opening packet on that the upstream has left unanswered."""
        asked = self.asked.pop(flow, None)
        if asked is None:
            return
        now = self.runtime.now()
        # The flow stays known: an answer that comes late must reach its balancer.
        self.upstream.note_silence(now=now)
        asked.frame = replace(asked.frame, unanswered=True)
        self.decide_again(asked, OpeningReason.SILENT, now=now)

    def note_returned(self, flow: bytes, *, now: float) -> None:
        """Pass an opening packet on that the upstream has given back."""
        asked = self.asked.pop(flow, None)
        self.flows.drop(flow)
        if asked is not None:
            self.decide_again(asked, OpeningReason.FULL, now=now)

    def decide_again(
        self, asked: AskedOpening, reason: OpeningReason, *, now: float
    ) -> None:
        """Decide anew on an opening packet that the upstream doesn't take."""
        own = AskedAgent(
            agent=self.own, load=self.load(now=now), slots=0, inability=reason
        )
        self.decide(asked.frame, asked.packet, own, now=now)

    def try_upstream(self, frame: OpenFrame, *, now: float) -> OpenFrame:
        """Give a silent upstream a packet that others get too, now and then."""
        if not self.upstream.begin_trial(now=now):
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
        """Ask another agent."""
        self.runtime.counters.passed += 1
        self.runtime.log.write(
            events.OPENING_PASSED,
            flow=flow_name(packet.flow),
            reason=decision.reason.value,
            target=inet_ntoa(decision.target),
            load=own.load,
            hops=frame.hops,
            **self.runtime.belief(),
        )
        best = frame.best
        if own.inability is None and (best is None or own.load < best.load):
            best = AgentLoad(agent=self.own, load=own.load)
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
        """Tell the client at once that no upstream takes its flow, if that is sure.

        An upstream that was given this packet, or an earlier copy, may still answer;
        a reset would then cut an open flow.
        """
        is_uncertain = frame.unanswered or packet.copy > 0
        event = events.OPENING_UNCERTAIN if is_uncertain else events.OPENING_REFUSED
        self.runtime.log.write(
            event,
            flow=flow_name(packet.flow),
            reason=decision.reason.value,
            **self.runtime.belief(),
        )
        if is_uncertain:
            self.runtime.counters.drop("opening-uncertain")
            return
        self.runtime.counters.refuse(decision.reason.value)
        self.reset(packet.flow)

    def note_offer(self, flow: AgentFlow, packet: RelayedPacket, *, now: float) -> None:
        """Tell the balancer that the upstream has answered."""
        self.asked.pop(packet.flow, None)
        flow.sequence = packet.sequence
        if flow.stage is FlowStage.ASKED:
            flow.stage = FlowStage.OFFERED
        offer = OfferFrame(
            flow=packet.flow,
            sequence=packet.sequence,
            load=self.load(now=now),
            slots=self.upstream.slots or UNKNOWN_SLOTS,
        )
        self.send(flow.balancer, offer)
