"""The agent: forwards packets between the balancers and one upstream."""

from __future__ import annotations

from socket import inet_aton, inet_ntoa

from daisygauge_policy import RequestScheduler, Utilization
from daisygauge_wire import (
    AbsentFrame,
    ForwardFrame,
    Frame,
    MalformedFrameError,
    OpenFrame,
    OwnerFrame,
    QueryFrame,
    SearchFrame,
    decode_frame,
    encode_frame,
)

from ._agent_gauges import make_gauges
from ._answers import Answers
from ._candidates import service_tag
from ._counters import Gauge
from ._endpoint import Endpoint
from ._flow_checks import FlowChecks
from ._flow_limits import FlowLimits
from ._flows import AgentFlow, FlowStage, FlowTable
from ._openings import DEFAULT_SLOTS, Openings
from ._pacing import ColdHost, PacedHost
from ._packet import (
    MalformedPacketError,
    PacketCodec,
    RelayedPacket,
    acknowledges,
    client_host,
)
from ._requests import Requests
from ._runtime import DRAIN_POLL_SECONDS, RelayRuntime
from ._searches import Searches
from ._settings import RelayAgentSettings, parse_address
from ._sockets import RoleSockets
from ._unknown_flows import UnknownFlows
from ._upstream import Upstream

CLOSED_FLOW_SECONDS = 5.0
"""How long a closed flow is kept: late packets of it still go to its upstream."""
MIN_DRAIN_SECONDS = 0.5
"""Minimum drain time: opening packets in transit when it begins still arrive."""


class RelayAgent:
    """Owns an agent's sockets and the state of its upstream's flows."""

    def __init__(
        self, *, runtime: RelayRuntime, settings: RelayAgentSettings, codec: PacketCodec
    ) -> None:
        self.runtime = runtime
        self.settings = settings
        self.codec = codec
        self.own_address = inet_aton(settings.host)
        self.client_port = settings.client_port
        self.inner_port = settings.inner_port
        self.upstream = Upstream(runtime=runtime, settings=settings)
        self.flows: FlowTable[AgentFlow] = FlowTable(
            is_expired=self.is_expired, on_removed=self.release_flow
        )
        self.scheduler = RequestScheduler(slots=lambda: self.upstream.slots)
        self.answers = Answers(
            runtime=runtime,
            codec=codec,
            scheduler=self.scheduler,
            flows=self.flows,
            hosts=self.count_hosts,
        )
        self.utilization = Utilization(
            slots=lambda: self.upstream.slots or DEFAULT_SLOTS,
            knows_flows=settings.first_start,
            now=runtime.now(),
        )
        self.cold_host = ColdHost(runtime=runtime, upstream=self.upstream)
        self.paced_host = PacedHost(
            runtime=runtime,
            upstream=self.upstream,
            cold_host=self.cold_host,
            scheduler=self.scheduler,
        )
        self.requests = Requests(
            runtime=runtime,
            codec=codec,
            scheduler=self.scheduler,
            answers=self.answers,
            utilization=self.utilization,
            deliver=self.deliver,
            observe=self.paced_host.record_response,
        )
        self.openings = Openings(
            runtime=runtime,
            codec=codec,
            upstream=self.upstream,
            flows=self.flows,
            running=lambda now: self.scheduler.load(now=now),
            limits=FlowLimits(
                firm=(self.cold_host,),
                soft=(self.answers,),
                penalties=(self.paced_host,),
            ),
            record_asked=self.answers.record_asked,
            utilization=self.utilization,
            deliver=self.deliver,
            send=self.send,
            reset=self.reset,
        )
        self.flow_checks = FlowChecks(
            runtime=runtime,
            upstream=self.upstream,
            flows=self.flows,
            deliver=self.deliver,
        )
        self.searches = Searches(
            runtime=runtime,
            candidates=self.openings.candidates,
            send=self.send,
            query_self=self.answer_own_query,
        )
        self.unknown_flows = UnknownFlows(
            runtime=runtime,
            codec=codec,
            upstream=self.upstream,
            flows=self.flows,
            searches=self.searches,
            deliver=self.deliver,
            send=self.send,
        )
        address = parse_address(settings.upstream)
        self.upstream_address = (address.host, address.port)
        self.inner = Endpoint(receive=self.receive_frame, report=runtime.report_error)
        self.outbound = Endpoint(
            receive=self.receive_upstream, report=runtime.report_error
        )

    async def start(self, sockets: RoleSockets) -> None:
        """Start reading the sockets and dispatching requests."""
        await self.outbound.open(sockets.outer)
        await self.inner.open(sockets.inner)
        self.runtime.tasks.supervise(self.requests.run, name="requests")
        self.runtime.tasks.supervise(self.watch_directory, name="host-entry")

    async def drain(self) -> None:
        """Wait until the upstream has no open flow, for at most ``max_drain_seconds``.

        New flows go to other agents meanwhile.
        """
        began = self.runtime.now()
        longest = self.runtime.settings.max_drain_seconds
        while self.runtime.now() - began < longest:
            await self.runtime.sleep(DRAIN_POLL_SECONDS)
            now = self.runtime.now()
            if now - began > MIN_DRAIN_SECONDS and not self.count_open(now=now):
                return

    def stop(self) -> None:
        """Deliver the held requests and close every socket."""
        self.requests.release_all()
        self.inner.close()
        self.outbound.close()

    def gauges(self) -> tuple[Gauge, ...]:
        """Return the agent's gauges for the metrics page."""
        return make_gauges(self)

    def count_hosts(self) -> int:
        """Return the number of hosts of the upstream's service that get new flows."""
        tag = service_tag(self.upstream.service)
        return len(self.openings.candidates.ready.get(tag, ()))

    def count_open(self, *, now: float) -> int:
        """Return the number of open flows that have not expired.

        :param now: monotonic time in seconds.
        """
        return sum(
            1
            for flow in self.flows.entries.values()
            if flow.stage is FlowStage.OPEN and not self.is_expired(flow, now)
        )

    async def watch_directory(self) -> None:
        """Observe each change of the directory, until cancelled.

        The remaining time that an entry gives counts from when the entry is seen.
        """
        while True:
            await self.runtime.changed.wait()
            self.refresh()

    def refresh(self) -> None:
        """Observe the directory's current view, and starts of the upstream."""
        self.openings.candidates.update(self.runtime.directory.view)
        now = self.runtime.now()
        self.cold_host.refresh(now=now)
        self.paced_host.refresh(now=now)
        self.flow_checks.refresh()

    def is_expired(self, flow: AgentFlow, now: float) -> bool:
        """Return True when a flow has been idle long enough to be removed."""
        if flow.stage is FlowStage.CLOSED:
            return now - flow.last_packet_at > CLOSED_FLOW_SECONDS
        return now - flow.last_packet_at > self.runtime.settings.flow_seconds

    def release_flow(self, flow: bytes, entry: AgentFlow) -> None:
        """Discard the pending opening packet and the requests of a removed flow."""
        self.openings.pending.pop(flow, None)
        self.requests.forget(flow)

    # Frames from balancers and other agents.

    def receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a frame from a balancer or another agent."""
        now = self.runtime.now()
        self.refresh()
        try:
            frame = decode_frame(data)
            match frame:
                case ForwardFrame():
                    packet = self.codec.read_from_client(frame.packet)
                    self.receive_packet(frame, packet, searcher=None, now=now)
                case SearchFrame():
                    packet = self.codec.read_from_client(frame.packet)
                    self.search(frame, packet, now=now)
                case QueryFrame():
                    packet = self.codec.read_from_client(frame.packet)
                    searcher = inet_aton(sender[0])
                    self.receive_packet(frame, packet, searcher=searcher, now=now)
                case OwnerFrame():
                    self.searches.record_found(frame.flow)
                case AbsentFrame():
                    self.searches.record_absent(
                        frame.flow, inet_aton(sender[0]), now=now
                    )
                case OpenFrame():
                    packet = self.codec.read_from_client(frame.packet)
                    self.flow_checks.record_opening(packet.flow)
                    self.openings.receive(frame, packet, now=now)
                case _:
                    self.runtime.counters.count_dropped("unexpected-frame")
        except MalformedFrameError:
            self.runtime.counters.count_dropped("malformed-frame")
        except MalformedPacketError:
            self.runtime.counters.count_dropped("malformed-packet")

    def search(self, frame: SearchFrame, packet: RelayedPacket, *, now: float) -> None:
        """Search on behalf of a balancer for the agent that holds a flow."""
        flow = self.flows.get(packet.flow)
        if flow is not None and selects_upstream(flow, packet):
            self.receive_packet(frame, packet, searcher=self.own_address, now=now)
        else:
            self.searches.begin(frame, packet, now=now)

    def answer_own_query(self, frame: QueryFrame, now: float) -> None:
        """Answer a query of this agent's own search."""
        packet = self.codec.read_from_client(frame.packet)
        self.receive_packet(frame, packet, searcher=self.own_address, now=now)

    def receive_packet(
        self,
        frame: ForwardFrame | SearchFrame | QueryFrame,
        packet: RelayedPacket,
        *,
        searcher: bytes | None,
        now: float,
    ) -> None:
        """Handle a client's packet of a flow that this agent may hold.

        :param searcher: the agent that searches for the flow, or None when a balancer
            forwarded the packet to this agent.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or not selects_upstream(flow, packet):
            self.unknown_flows.receive(frame, packet, searcher=searcher, now=now)
            return
        if searcher is not None:
            self.searches.report_owner(packet.flow, frame.balancer, searcher)
        flow.balancer = frame.balancer
        flow.last_packet_at = now
        if flow.stage is FlowStage.OFFERED:
            flow.stage = FlowStage.OPEN
        self.flow_checks.remember(flow, packet, frame.packet)
        self.requests.receive(flow, packet, frame.packet, now=now)
        if packet.finishing or packet.resetting:
            flow.stage = FlowStage.CLOSED
            self.utilization.end_flow(packet.flow, now=now)
        if packet.resetting:
            self.requests.abandon(packet.flow, flow, now=now)

    # Packets from the upstream.

    def receive_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet that the upstream sent or returned."""
        now = self.runtime.now()
        try:
            packet = self.codec.read_from_upstream(data)
        except MalformedPacketError:
            self.runtime.counters.count_dropped("malformed-packet")
            return
        self.upstream.record_received(now=now)
        if packet.returned:
            if packet.opening:
                self.openings.handle_returned(packet.flow, now=now)
            elif self.flow_checks.record_returned(packet):
                self.unknown_flows.handle_returned(packet, data, now=now)
            return
        flow = self.flows.get(packet.flow)
        if flow is None:
            flow = self.unknown_flows.add_discovered(packet, now=now)
        flow.last_packet_at = flow.upstream_at = now
        self.flow_checks.record_packet(packet.flow)
        if packet.accepting:
            self.openings.report_offer(flow, packet, now=now)
        else:
            self.unknown_flows.mark_open(packet.flow, flow)
        if packet.length:
            self.requests.receive_answer(flow, packet, data, now=now)
        if packet.finishing or packet.resetting:
            flow.stage = FlowStage.CLOSED
            self.requests.end(packet, flow, now=now)
            self.utilization.end_flow(packet.flow, now=now)
        self.runtime.counters.packets_out += 1
        address = (client_host(packet.flow), self.client_port)
        self.outbound.send(data, address)

    # Sending.

    def deliver(self, data: bytes) -> None:
        """Send a packet to the upstream."""
        self.outbound.send(data, self.upstream_address)

    def reset(self, flow: bytes) -> None:
        """Send a client the reset of a flow that isn't open."""
        address = (client_host(flow), self.client_port)
        self.outbound.send(self.codec.make_reset(flow), address)

    def send(self, target: bytes, frame: Frame) -> None:
        """Send a frame to another instance."""
        address = (inet_ntoa(target), self.inner_port)
        self.inner.send(encode_frame(frame), address)


def selects_upstream(flow: AgentFlow, packet: RelayedPacket) -> bool:
    """Return True when a client's packet may belong to this upstream.

    Two upstreams may answer one opening packet; the client acknowledges one of them.
    """
    if flow.stage is not FlowStage.OFFERED:
        return flow.stage is not FlowStage.ASKED
    return acknowledges(packet, flow.sequence)
