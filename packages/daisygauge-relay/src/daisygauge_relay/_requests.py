"""Requests inside the flows of one upstream: seen, held and let go."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from daisygauge_policy import RequestScheduler, ScheduledRequest, SchedulerChange

from . import _events as events
from ._candidates import find_route
from ._flows import AgentFlow
from ._packet import (
    SEQUENCE_RANGE,
    PacketCodec,
    RelayedPacket,
    flow_name,
)
from ._runtime import RelayRuntime

TICK_SECONDS = 0.05
"""Time between dispatches without an answer: a tenth of the shortest time in which a
held request can become too late."""
LONGEST_OPENING_SECONDS = 2.0
"""Clients give an opening up after 1.4 s; the rest is for a repeated first packet."""
MAX_HELD_PACKETS = 16
"""A client has no more packets in flight."""


class HeldRequest(Struct, kw_only=True):
    """Packets of a request that waits for the upstream.

    :param sequences: sequence numbers of the packets, so that none is held twice.
    """

    packets: list[bytes] = field(default_factory=list)
    sequences: set[int] = field(default_factory=set)


class Requests:
    """Follows the requests of all flows of one upstream.

    :param deliver: gives a packet to the upstream.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        codec: PacketCodec,
        scheduler: RequestScheduler,
        deliver: Callable[[bytes], None],
    ) -> None:
        self.runtime = runtime
        self.codec = codec
        self.scheduler = scheduler
        self.deliver = deliver
        self.held: dict[bytes, HeldRequest] = {}

    async def run(self) -> None:
        """Dispatch and expire waiting requests every ``TICK_SECONDS``."""
        while True:
            await self.runtime.sleep(TICK_SECONDS)
            if self.scheduler.waiting:
                self.apply(self.scheduler.dispatch(now=self.runtime.now()))

    def receive(
        self, flow: AgentFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Handle a client's packet: it goes on, or waits with its request."""
        if not packet.length:
            self.deliver(data)
            return
        held = self.held.get(packet.flow)
        if held is not None:
            hold_packet(held, packet, data)
        elif note_progress(flow, packet) and flow.asked_at is None:
            self.begin(flow, packet, data, now=now)
        else:
            self.deliver(data)

    def begin(
        self, flow: AgentFlow, packet: RelayedPacket, data: bytes, *, now: float
    ) -> None:
        """Submit a new request to the scheduler."""
        flow.asked_at = now
        flow.request = self.codec.find_request_id(data)
        self.runtime.counters.requests += 1
        held = self.held[packet.flow] = HeldRequest()
        hold_packet(held, packet, data)
        change = self.scheduler.submit(self.describe(flow, packet, now=now), now=now)
        self.runtime.log.write(
            events.REQUEST_BEGUN,
            flow=flow_name(packet.flow),
            request=flow.request,
            running=len(self.scheduler.running),
            waiting=len(self.scheduler.waiting),
        )
        self.apply(change)

    def describe(
        self, flow: AgentFlow, packet: RelayedPacket, *, now: float
    ) -> ScheduledRequest:
        """Return the values by which the scheduler orders a request."""
        route = find_route(self.runtime.directory.view, packet.flow)
        began = find_start(flow, now=now)
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
        """Forward the dispatched requests and drop the expired ones."""
        for flow in change.sent:
            held = self.held.pop(flow, None)
            for data in held.packets if held is not None else ():
                self.deliver(data)
        for flow in change.expired:
            self.held.pop(flow, None)
            self.runtime.counters.drop("request-expired")
            self.runtime.log.write(
                events.REQUEST_EXPIRED,
                flow=flow_name(flow),
                service_seconds=round(self.scheduler.service_seconds, 4),
                running=len(self.scheduler.running),
                waiting=len(self.scheduler.waiting),
            )

    def receive_answer(
        self, flow: AgentFlow, packet: RelayedPacket, *, now: float
    ) -> None:
        """Handle an upstream's packet with data.

        A repeated one belongs to an answer that was noted before, and says nothing of
        the request that runs now.
        """
        end = find_progress(flow.upstream_next, packet)
        if end is None:
            return
        flow.upstream_next = end
        if flow.asked_at is not None:
            self.answer(packet.flow, flow, now=now)

    def answer(self, key: bytes, flow: AgentFlow, *, now: float) -> None:
        """Note that the upstream answers a flow's request."""
        seconds = now - flow.asked_at
        began = self.scheduler.running.get(key)
        if began is not None:
            self.scheduler.record_service_time(now - began)
        self.runtime.counters.answer(seconds)
        self.runtime.log.write(
            events.REQUEST_ANSWERED,
            flow=flow_name(key),
            request=flow.request,
            seconds=round(seconds, 4),
            running=len(self.scheduler.running),
            waiting=len(self.scheduler.waiting),
        )
        flow.asked_at = None
        flow.served += 1
        self.apply(self.scheduler.end(key, now=now))

    def forget(self, flow: bytes) -> None:
        """Drop a flow that is over."""
        self.held.pop(flow, None)
        self.apply(self.scheduler.end(flow, now=self.runtime.now()))

    def let_go(self) -> None:
        """Send on whatever waits: nobody will be here to do it later."""
        for held in self.held.values():
            for data in held.packets:
                self.deliver(data)
        self.held.clear()


def find_start(flow: AgentFlow, *, now: float) -> float:
    """Return when a request that arrives now began at its client.

    The first request of a flow mostly began with the opening. One that comes much
    later was sent over a flow that stood ready.
    """
    is_first = not flow.served and now - flow.began <= LONGEST_OPENING_SECONDS
    return flow.began if is_first else now


def hold_packet(held: HeldRequest, packet: RelayedPacket, data: bytes) -> None:
    """Keep a packet of a waiting request once."""
    if packet.sequence in held.sequences or len(held.packets) >= MAX_HELD_PACKETS:
        return
    held.sequences.add(packet.sequence)
    held.packets.append(data)


def note_progress(flow: AgentFlow, packet: RelayedPacket) -> bool:
    """Note a client's bytes; returns whether they were not sent before."""
    end = find_progress(flow.client_next, packet)
    if end is not None:
        flow.client_next = end
    return end is not None


def find_progress(known: int | None, packet: RelayedPacket) -> int | None:
    """Return the sequence number after a packet's bytes, or None for repeated ones.

    :param known: the number after the newest byte of the same sender before.
    """
    end = (packet.sequence + packet.length) % SEQUENCE_RANGE
    if known is None:
        return end
    ahead = (end - known) % SEQUENCE_RANGE
    return end if 0 < ahead < SEQUENCE_RANGE // 2 else None
