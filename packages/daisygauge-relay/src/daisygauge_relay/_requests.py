"""Requests inside the flows of one upstream: tracked, held and released."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from daisygauge_policy import (
    RequestScheduler,
    ScheduledRequest,
    SchedulerChange,
    Utilization,
)

from . import _events as events
from ._answers import Answers
from ._candidates import find_route
from ._flows import AgentFlow
from ._packet import (
    SEQUENCE_RANGE,
    PacketCodec,
    RelayedPacket,
    format_flow,
    service_endpoint,
)
from ._runtime import RelayRuntime

DISPATCH_INTERVAL_SECONDS = 0.05
"""Interval of dispatches between answers: a tenth of the shortest time in which a held
request can expire."""
MAX_OPENING_SECONDS = 2.0
"""Clients give up on an opening after 1.4 s; the rest allows for a retransmitted first
packet."""
MAX_HELD_PACKETS = 16
"""Limit on the held packets of one request; a client has no more in flight."""


class HeldRequest(Struct, kw_only=True):
    """Packets of a request that waits for its dispatch.

    :param packets: the packets in order of arrival.
    :param sequences: sequence numbers of the packets, so that none is held twice.
    """

    packets: list[bytes] = field(default_factory=list)
    sequences: set[int] = field(default_factory=set)


class Requests:
    """Tracks the requests in all flows of one upstream.

    :param scheduler: decides when each request is delivered.
    :param answers: records whether the upstream answers or fails each request.
    :param utilization: is told of the requests and the upstream's answers.
    :param deliver: sends a packet to the upstream.
    :param observe: called with the time of dispatch of an answered request, or None
        for one that the upstream has failed, and the time now.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        codec: PacketCodec,
        scheduler: RequestScheduler,
        answers: Answers,
        utilization: Utilization,
        deliver: Callable[[bytes], None],
        observe: Callable[[float | None, float], None] = lambda began, now: None,
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.scheduler = scheduler
        self.answers = answers
        self.utilization = utilization
        self.deliver = deliver
        self.observe = observe
        self.held: dict[bytes, HeldRequest] = {}

    async def run(self) -> None:
        """Dispatch and expire waiting requests periodically, until cancelled."""
        while True:
            await self.runtime.sleep(DISPATCH_INTERVAL_SECONDS)
            self.utilization.tick(now=self.runtime.now())
            self.answers.tick(now=self.runtime.now())
            if self.scheduler.waiting:
                self.apply(self.scheduler.dispatch(now=self.runtime.now()))

    def receive(
        self, flow: AgentFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Deliver a client's packet, or hold it with its request."""
        if not packet.length:
            self.deliver(data)
            return
        held = self.held.get(packet.flow)
        if held is not None:
            hold_packet(held, packet, data)
        elif self.is_request(flow, packet):
            self.begin(flow, packet, data, now=now)
        else:
            self.deliver(data)

    def is_request(self, flow: AgentFlow, packet: RelayedPacket) -> bool:
        """Record a client's packet; return True when a new request begins with it."""
        has_new_data = record_progress(flow, packet)
        is_idle = flow.request_started_at is None and not flow.has_ended
        return has_new_data and is_idle

    def begin(
        self, flow: AgentFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Hold the first packet of a new request and submit the request."""
        flow.request_started_at = now
        flow.request_id = self.codec.find_request_id(data)
        self.runtime.counters.requests += 1
        kind = service_endpoint(packet.flow)
        self.utilization.record_request(packet.flow, kind, now=now)
        held = self.held[packet.flow] = HeldRequest()
        hold_packet(held, packet, data)
        change = self.scheduler.submit(
            self.make_scheduled_request(flow, packet, now=now), now=now
        )
        self.runtime.log.write(
            events.REQUEST_BEGUN,
            flow=format_flow(packet.flow),
            request=flow.request_id,
            running=len(self.scheduler.running),
            waiting=len(self.scheduler.waiting),
        )
        self.apply(change)

    def make_scheduled_request(
        self, flow: AgentFlow, packet: RelayedPacket, *, now: float
    ) -> ScheduledRequest:
        """Return the request with the values that the scheduler orders by."""
        route = find_route(self.runtime.directory.view, packet.flow)
        began = find_request_start(flow, now=now)
        request = ScheduledRequest(flow=packet.flow, priority=0)
        if route is None:
            return request
        request.priority = route.priority
        if route.target_latency_seconds:
            request.target_at = began + route.target_latency_seconds
        if route.timeout_seconds:
            request.deadline_at = began + route.timeout_seconds
        return request

    def apply(self, change: SchedulerChange) -> None:
        """Deliver the dispatched requests and drop the expired ones."""
        now = self.runtime.now()
        running = self.scheduler.count_running(now=now) - len(change.sent)
        for sent, flow in enumerate(change.sent, start=1):
            self.utilization.record_sent(flow, running=running + sent, now=now)
            self.deliver_held(flow)
        for flow in change.expired:
            self.held.pop(flow, None)
            self.runtime.counters.count_dropped("request-expired")
            self.runtime.log.write(
                events.REQUEST_EXPIRED,
                flow=format_flow(flow),
                service_seconds=round(self.scheduler.service_seconds, 4),
                running=len(self.scheduler.running),
                waiting=len(self.scheduler.waiting),
            )

    def receive_answer(
        self, flow: AgentFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Handle an upstream's packet with data.

        A retransmitted packet belongs to an earlier answer and is ignored: it doesn't
        answer the current request.
        """
        end = find_progress(flow.upstream_next, packet)
        if end is None:
            return
        flow.upstream_next = end
        if flow.request_started_at is not None:
            self.answers.record_answer(packet.flow, data, now=now)
            self.answer(packet.flow, flow, now=now)
        elif flow.is_answer_due:
            flow.is_answer_due = False
            self.answers.record_answer(packet.flow, data, now=now)

    def answer(self, key: bytes, flow: AgentFlow, *, now: float) -> None:
        """Record that the upstream has begun to answer a flow's request."""
        seconds = now - flow.request_started_at
        began = self.scheduler.running.get(key)
        if began is not None:
            self.scheduler.record_service_time(now - began)
            self.observe(began, now)
        self.utilization.record_done(key, is_answered=True, now=now)
        self.runtime.counters.count_answered(seconds)
        self.runtime.log.write(
            events.REQUEST_ANSWERED,
            flow=format_flow(key),
            request=flow.request_id,
            seconds=round(seconds, 4),
            running=len(self.scheduler.running),
            waiting=len(self.scheduler.waiting),
        )
        flow.request_started_at = None
        flow.answered += 1
        self.deliver_held(key)
        self.apply(self.scheduler.end(key, now=now))

    def end(self, packet: RelayedPacket, flow: AgentFlow, *, now: float) -> None:
        """Free the slot of a flow that the upstream ends before its answer is seen.

        A FIN may overtake the answer that precedes it; only then the request has not
        failed.
        """
        key = packet.flow
        is_answered = packet.finishing and follows_unseen_data(flow, packet)
        if flow.request_started_at is not None and not flow.has_ended:
            flow.is_answer_due = is_answered
            if not is_answered:
                self.answers.record_ended(key, now=now)
        flow.has_ended = True
        if flow.request_started_at is None:
            return
        flow.request_started_at = None
        self.held.pop(key, None)
        self.utilization.record_done(key, is_answered=is_answered, now=now)
        began = self.scheduler.running.get(key)
        if began is not None:
            self.observe(began if is_answered else None, now)
        self.apply(self.scheduler.end(key, now=now))

    def abandon(self, key: bytes, flow: AgentFlow, *, now: float) -> None:
        """Drop the waiting request of a flow that its client has reset.

        One that runs keeps its slot: the upstream still works on it.
        """
        flow.has_ended = True
        if self.held.pop(key, None) is None:
            return
        flow.request_started_at = None
        self.runtime.counters.count_dropped("request-abandoned")
        self.apply(self.scheduler.end(key, now=now))

    def forget(self, flow: bytes) -> None:
        """Remove the requests of a flow that was removed."""
        now = self.runtime.now()
        self.held.pop(flow, None)
        self.utilization.record_done(flow, is_answered=False, now=now)
        self.utilization.end_flow(flow, now=now)
        self.apply(self.scheduler.end(flow, now=now))

    def deliver_held(self, flow: bytes) -> None:
        """Deliver the held packets of a flow, if there are any.

        A request that is answered while its packets are held had reached the upstream
        before this agent started; the client has repeated it. The upstream takes the
        packets as copies. If they stayed, the flow's later requests would be held with
        them.
        """
        held = self.held.pop(flow, None)
        for data in held.packets if held is not None else ():
            self.deliver(data)

    def release_all(self) -> None:
        """Deliver every held packet; a stopping process can't do it later."""
        for flow in list(self.held):
            self.deliver_held(flow)


def find_request_start(flow: AgentFlow, *, now: float) -> float:
    """Return the monotonic time at which the client began a request that arrives now.

    The first request of a flow usually began with the opening. One that arrives much
    later was sent on a flow that had been opened in advance.
    """
    began_with_opening = (
        not flow.answered and now - flow.opening_at <= MAX_OPENING_SECONDS
    )
    return flow.opening_at if began_with_opening else now


def hold_packet(held: HeldRequest, packet: RelayedPacket, data: bytes) -> None:
    """Add a packet to a held request, unless it is there already."""
    if packet.sequence in held.sequences or len(held.packets) >= MAX_HELD_PACKETS:
        return
    held.sequences.add(packet.sequence)
    held.packets.append(data)


def record_progress(flow: AgentFlow, packet: RelayedPacket) -> bool:
    """Record a client's packet; return True when it holds bytes not seen before."""
    end = find_progress(flow.client_next, packet)
    if end is not None:
        flow.client_next = end
    return end is not None


def follows_unseen_data(flow: AgentFlow, packet: RelayedPacket) -> bool:
    """Return True when an upstream's packet follows bytes that have not arrived.

    That is assumed where the upstream's sequence numbers aren't known.
    """
    if flow.upstream_next is not None:
        return packet.sequence != flow.upstream_next
    return not flow.sequence or packet.sequence != flow.sequence + 1


def find_progress(known: int | None, packet: RelayedPacket) -> int | None:
    """Return the sequence number after a packet's bytes, or None for a retransmission.

    :param known: sequence number after the newest byte from the same sender, or None.
    """
    end = (packet.sequence + packet.length) % SEQUENCE_RANGE
    if known is None:
        return end
    ahead = (end - known) % SEQUENCE_RANGE
    return end if 0 < ahead < SEQUENCE_RANGE // 2 else None
