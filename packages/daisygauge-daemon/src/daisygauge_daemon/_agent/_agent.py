"""The agent: ends callers' connections beside one upstream."""

from __future__ import annotations

import asyncio

from attrs import evolve

from daisygauge_policy import (
    FlightDecision,
    FlightReason,
    HandToPeer,
    RefuseFlight,
    UpstreamState,
    decide_first_flight,
)
from daisygauge_records import Endpoint
from daisygauge_wire import Datagram, Kind, LoadReport

from .._peer_port import PeerPort
from .._runtime import Runtime
from ._acceptor import Acceptor
from ._dispatch import Dispatcher
from ._drain import Drain
from ._fence import Fence
from ._flights import Flights
from ._health import HealthCheck
from ._incarnation import TICK_SECONDS, incarnation_at
from ._load_reports import LoadReportExchange
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._peer_calls import PeerCalls
from ._peer_server import PeerHandler
from ._peers import Peers
from ._request import RequestServer
from ._returns import Returns
from ._routing import Router
from ._slots import Slots
from ._socket import open_inner_socket
from ._table import ConnectionTable
from ._upstream import UpstreamClient


class Agent:
    """Wires the parts of one agent together.

    :param runtime: the daemon's surroundings; its settings are an agent's.
    """

    def __init__(self, *, runtime: Runtime) -> None:
        self.runtime = runtime
        self.node = AgentNode(runtime=runtime, settings=runtime.settings)
        self.metrics = AgentMetrics(runtime.registry)
        self.table = ConnectionTable()
        self.slots = Slots(node=self.node, choose_peer=self.choose_peer)
        self.load_reports = LoadReportExchange(node=self.node, load=self)
        self.returns = Returns(node=self.node, load_reports=self.load_reports)
        self.peers = Peers(node=self.node, load_reports=self.load_reports)
        self.calls = PeerCalls(node=self.node)
        self.drain_process = Drain(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            on_leaving=self.load_reports.changed.set,
            count_unseen=self.count_unseen,
        )
        self.metrics.running.set_function(lambda: self.slots.running)
        self.metrics.waiting.set_function(lambda: self.slots.waiting)
        self.metrics.streaming.set_function(lambda: self.slots.streaming)
        runtime.readiness.set("upstream", False)

    async def start(self) -> None:
        """Bind every socket and begin."""
        settings = self.node.settings
        self.upstream = UpstreamClient(
            endpoint=Endpoint(host=settings.upstream.host, port=settings.upstream.port),
            now=self.node.now,
        )
        self.health = HealthCheck(node=self.node, upstream=self.upstream)
        self.router = Router(
            node=self.node,
            slots=self.slots,
            peers=self.peers,
            calls=self.calls,
            upstream=self.upstream,
            metrics=self.metrics,
            load=self,
            may_run=self.drain_process.may_run,
        )
        await self.open_socket()
        self.fence = Fence(
            node=self.node, run=self.router.run, ask=self.calls.ask_outcome
        )
        self.requests = RequestServer(
            node=self.node,
            router=self.router,
            fence=self.fence,
            metrics=self.metrics,
        )
        self.acceptor = Acceptor(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            serve=self.requests.serve,
            send_reply=self.returns.send_reply,
        )
        self.receive_datagrams()
        handler = PeerHandler(node=self.node, router=self.router, fence=self.fence)
        self.peer_port = PeerPort(runtime=self.runtime, handlers=[handler])
        await self.peer_port.start()
        self.runtime.spawn(self.health.run(), name="health")
        self.runtime.spawn(self.slots.run(), name="slots")
        self.runtime.spawn(self.load_reports.run(), name="gauges")
        self.runtime.spawn(self.returns.run(), name="returns")
        self.runtime.spawn(self.drain_process.watch_list(), name="leaving")

    async def open_socket(self) -> None:
        """Bind the inner socket; the incarnation begins after that."""
        self.node.socket = await open_inner_socket(
            local=self.node.inner, log=self.node.log
        )
        await asyncio.sleep(TICK_SECONDS)
        self.runtime.incarnation = incarnation_at(self.runtime.now())

    def receive_datagrams(self) -> None:
        """Begin to handle inner datagrams."""
        flights = Flights(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            accept=self.acceptor.accept,
            choose=self.choose_flight,
        )
        dispatcher = Dispatcher(
            node=self.node,
            table=self.table,
            flights=flights,
            metrics=self.metrics,
            listeners={
                Kind.PROBE_ANSWER: self.returns.take_answer,
                Kind.LOAD_REPORT: self.load_reports.handle,
            },
        )
        self.node.socket.on_datagram = dispatcher.on_datagram

    def choose_flight(self, datagram: Datagram) -> FlightDecision:
        """Decide about a new connection."""
        if self.node.newest_key() is None:
            return RefuseFlight(reason=FlightReason.FULL)
        agents = {peer.id: peer.agent for peer in self.node.peers}
        own = self.node.inner
        return decide_first_flight(
            placement=self.node.service.placement,
            own=self.build_load_report(sequence=0),
            candidates=[agent for agent in datagram.candidates if agent != own],
            reports={agents[held.peer]: held.report for held in self.peers.fresh()},
            hops=datagram.hops,
        )

    def choose_peer(self) -> HandToPeer | None:
        """Return a better peer for a request that waits here, if any."""
        report = self.build_load_report(sequence=0)
        return self.peers.choose(evolve(report, waiting=max(report.waiting - 1, 0)))

    def build_load_report(self, *, sequence: int) -> LoadReport:
        """Return the load now."""
        upstream = self.node.upstream
        return LoadReport(
            slots=upstream.slots,
            running=self.slots.running,
            waiting=self.slots.waiting,
            connections=len(self.table),
            max_connections=upstream.max_connections,
            service_seconds=self.slots.times.overall_seconds,
            leaving=self.node.leaving,
            ready=self.is_ready(),
            sequence=sequence,
            recent=self.slots.recent.count(now=self.node.now()),
        )

    def is_ready(self) -> bool:
        """Tell whether the upstream is believed to take requests."""
        is_open = self.slots.limit.state is UpstreamState.OPEN
        return self.health.ready and is_open

    def count_unseen(self) -> int:
        """Count requests that may run without a caller's connection."""
        return self.slots.running + self.slots.waiting + len(self.fence.detached)

    async def drain(self) -> None:
        """Finish requests and connections; returns when the process may end."""
        await self.drain_process.run(reason="signal")

    async def stop(self) -> None:
        """Close every socket."""
        for connection in self.table.connections():
            connection.close(reason="host stopped")
        await asyncio.sleep(0)
        await self.peer_port.stop()
        self.calls.close()
        await self.upstream.close()
        if self.node.socket is not None:
            self.node.socket.close()
