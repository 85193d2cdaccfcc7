"""The agent: stands between the balancers and one upstream."""

from __future__ import annotations

from socket import inet_aton, inet_ntoa

from daisygauge_policy import RequestScheduler
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

from ._counters import Gauge
from ._endpoint import Endpoint
from ._flows import AgentFlow, FlowStage, FlowTable
from ._openings import Openings
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
from ._strays import Strays
from ._upstream import Upstream

CLOSED_SECONDS = 5.0
"""Late packets of a closed flow still belong to its upstream."""
LEAST_DRAIN_SECONDS = 0.5
"""Opening packets on their way when the drain begins still arrive."""


class RelayAgent:
    """One agent's sockets and its upstream's flows."""

    def __init__(
        self, *, runtime: RelayRuntime, settings: RelayAgentSettings, codec: PacketCodec
    ) -> None:
        self.runtime = runtime
        self.settings = settings
        self.codec = codec
        self.own = inet_aton(settings.host)
        self.client_port = settings.client_port
        self.inner_port = settings.inner_port
        self.upstream = Upstream(runtime=runtime, settings=settings)
        self.flows: FlowTable[AgentFlow] = FlowTable(
            is_over=self.is_over, forgotten=self.forget
        )
        self.scheduler = RequestScheduler(slots=lambda: self.upstream.slots)
        self.requests = Requests(
            runtime=runtime, codec=codec, scheduler=self.scheduler, deliver=self.deliver
        )
        self.openings = Openings(
            runtime=runtime,
            codec=codec,
            upstream=self.upstream,
            flows=self.flows,
            running=lambda now: self.scheduler.load(now=now),
            deliver=self.deliver,
            send=self.send,
            reset=self.reset,
        )
        self.searches = Searches(
            runtime=runtime,
            candidates=self.openings.candidates,
            send=self.send,
            ask_own=self.query_own,
        )
        self.strays = Strays(
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
        """Begin to read the sockets."""
        await self.outbound.open(sockets.outer)
        await self.inner.open(sockets.inner)
        self.runtime.tasks.keep(self.requests.run, name="requests")

    async def drain(self) -> None:
        """Pass new flows on, and stay while the upstream still has some."""
        began = self.runtime.now()
        longest = self.settings.longest_drain_seconds
        while self.runtime.now() - began < longest:
            await self.runtime.sleep(DRAIN_POLL_SECONDS)
            now = self.runtime.now()
            if now - began > LEAST_DRAIN_SECONDS and not self.count_open(now=now):
                return

    def stop(self) -> None:
        """Close every socket."""
        self.requests.let_go()
        self.inner.close()
        self.outbound.close()

    def gauges(self) -> tuple[Gauge, ...]:
        """Return what the metrics page shows of this role."""
        return (
            Gauge(
                name="flows",
                text="Flows known.",
                read=lambda: len(self.flows),
            ),
            Gauge(
                name="requests_running",
                text="Requests at the upstream.",
                read=lambda: len(self.scheduler.running),
            ),
            Gauge(
                name="requests_waiting",
                text="Requests that wait for the upstream.",
                read=lambda: len(self.scheduler.waiting),
            ),
            Gauge(
                name="service_seconds",
                text="Mean time of the upstream's latest answers.",
                read=lambda: self.scheduler.service_seconds,
            ),
            Gauge(
                name="upstream_silent",
                text="1 while the upstream leaves opening packets unanswered.",
                read=lambda: float(self.upstream.silent_since is not None),
            ),
        )

    def count_open(self, *, now: float) -> int:
        """Return the flows that are still in use."""
        return sum(
            1
            for flow in self.flows.entries.values()
            if flow.stage is FlowStage.OPEN and not self.is_over(flow, now)
        )

    def refresh(self) -> None:
        """Take the directory's present view into use."""
        self.openings.candidates.update(self.runtime.directory.view)

    def is_over(self, flow: AgentFlow, now: float) -> bool:
        """Tell whether a flow may be forgotten."""
        if flow.stage is FlowStage.CLOSED:
            return now - flow.seen > CLOSED_SECONDS
        return now - flow.seen > self.settings.flow_seconds

    def forget(self, flow: bytes, entry: AgentFlow) -> None:
        """Drop what hangs on a flow."""
        self.openings.asked.pop(flow, None)
        self.requests.forget(flow)

    # Frames from balancers and other agents.

    def receive_frame(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a frame."""
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
                case AbsentFrame():
                    self.searches.record_absent(
                        frame.flow, inet_aton(sender[0]), now=now
                    )
                case OpenFrame():
                    packet = self.codec.read_from_client(frame.packet)
                    self.openings.receive(frame, packet, now=now)
                case _:
                    self.runtime.counters.drop("unexpected-frame")
        except MalformedFrameError:
            self.runtime.counters.drop("malformed-frame")
        except MalformedPacketError:
            self.runtime.counters.drop("malformed-packet")

    def search(self, frame: SearchFrame, packet: RelayedPacket, *, now: float) -> None:
        """Find the agent that holds a flow, for a balancer."""
        flow = self.flows.get(packet.flow)
        if flow is not None and is_chosen(flow, packet):
            self.receive_packet(frame, packet, searcher=self.own, now=now)
        else:
            self.searches.begin(frame, packet, now=now)

    def query_own(self, frame: QueryFrame, now: float) -> None:
        """Tell this agent's own search whether the flow is here."""
        packet = self.codec.read_from_client(frame.packet)
        self.receive_packet(frame, packet, searcher=self.own, now=now)

    def receive_packet(
        self,
        frame: ForwardFrame | SearchFrame | QueryFrame,
        packet: RelayedPacket,
        *,
        searcher: bytes | None,
        now: float,
    ) -> None:
        """Handle a packet of a flow that may be here.

        :param searcher: the agent that looks for the flow, or None when it is known.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or not is_chosen(flow, packet):
            self.strays.receive(frame, packet, searcher=searcher, now=now)
            return
        if searcher is not None:
            self.send(frame.balancer, OwnerFrame(flow=packet.flow))
        flow.balancer = frame.balancer
        flow.seen = now
        if flow.stage is FlowStage.OFFERED:
            flow.stage = FlowStage.OPEN
        self.requests.receive(flow, packet, frame.packet, now=now)
        if packet.finishing or packet.resetting:
            flow.stage = FlowStage.CLOSED

    # Packets from the upstream.

    def receive_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a packet that the upstream sent or returned."""
        now = self.runtime.now()
        try:
            packet = self.codec.read_from_upstream(data)
        except MalformedPacketError:
            self.runtime.counters.drop("malformed-packet")
            return
        self.upstream.note_heard(now=now)
        if packet.returned:
            if packet.opening:
                self.openings.note_returned(packet.flow, now=now)
            else:
                self.strays.note_returned(packet, data, now=now)
            return
        flow = self.flows.get(packet.flow)
        if flow is None:
            flow = self.strays.discover(packet, now=now)
        flow.seen = now
        if packet.accepting:
            self.openings.note_offer(flow, packet, now=now)
        else:
            self.strays.note_open(packet.flow, flow)
        if packet.length:
            self.requests.receive_answer(flow, packet, now=now)
        if packet.finishing or packet.resetting:
            flow.stage = FlowStage.CLOSED
        self.runtime.counters.packets_out += 1
        address = (client_host(packet.flow), self.client_port)
        self.outbound.send(data, address)

    # Sending.

    def deliver(self, data: bytes) -> None:
        """Give a packet to the upstream."""
        self.outbound.send(data, self.upstream_address)

    def reset(self, flow: bytes) -> None:
        """Reset a flow that isn't open."""
        address = (client_host(flow), self.client_port)
        self.outbound.send(self.codec.make_reset(flow), address)

    def send(self, target: bytes, frame: Frame) -> None:
        """Send a frame to another instance."""
        address = (inet_ntoa(target), self.inner_port)
        self.inner.send(encode_frame(frame), address)


def is_chosen(flow: AgentFlow, packet: RelayedPacket) -> bool:
    """Tell whether a client's packet may be for this upstream.

    Two upstreams may answer one opening packet; the client acknowledges one.
    """
    if flow.stage is not FlowStage.OFFERED:
        return flow.stage is not FlowStage.ASKED
    return acknowledges(packet, flow.sequence)
