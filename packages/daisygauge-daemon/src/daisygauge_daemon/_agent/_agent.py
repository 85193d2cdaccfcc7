"""The agent: terminates callers' connections in front of one upstream."""

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
from ._first_flights import FirstFlightHandler
from ._health import HealthCheck
from ._idempotency import IdempotencyHandler
from ._incarnation import TICK_SECONDS, incarnation_at
from ._load_reports import LoadReportExchange
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._peer_calls import PeerCalls
from ._peer_selection import PeerSelector
from ._peer_server import PeerHandler
from ._replies import ReplySender
from ._request import RequestServer
from ._routing import Router
from ._slots import Slots
from ._socket import open_inner_socket
from ._table import ConnectionTable
from ._upstream import UpstreamClient


class Agent:
    """Creates the components of one agent and connects them.

    :param runtime: runtime of the daemon; its ``settings`` are ``AgentSettings``.
    """

    def __init__(self, *, runtime: Runtime) -> None:
        self.runtime = runtime
        self.node = AgentNode(runtime=runtime, settings=runtime.settings)
        self.metrics = AgentMetrics(runtime.registry)
        self.table = ConnectionTable()
        self.slots = Slots(node=self.node, choose_peer=self.choose_peer)
        self.load_reports = LoadReportExchange(node=self.node, load=self)
        self.replies = ReplySender(node=self.node, load_reports=self.load_reports)
        self.peer_selector = PeerSelector(
            node=self.node, load_reports=self.load_reports
        )
        self.calls = PeerCalls(node=self.node)
        self.drain_process = Drain(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            on_leaving=self.load_reports.changed.set,
            count_detached_requests=self.count_detached_requests,
        )
        self.metrics.running.set_function(lambda: self.slots.running)
        self.metrics.waiting.set_function(lambda: self.slots.waiting)
        self.metrics.streaming.set_function(lambda: self.slots.streaming)
        runtime.readiness.set("upstream", False)

    async def start(self) -> None:
        """Bind every socket and start the background tasks."""
        settings = self.node.settings
        self.upstream = UpstreamClient(
            endpoint=Endpoint(host=settings.upstream.host, port=settings.upstream.port),
            now=self.node.now,
        )
        self.health = HealthCheck(node=self.node, upstream=self.upstream)
        self.router = Router(
            node=self.node,
            slots=self.slots,
            peer_selector=self.peer_selector,
            calls=self.calls,
            upstream=self.upstream,
            metrics=self.metrics,
            load=self,
            may_run=self.drain_process.may_run,
        )
        await self.open_socket()
        self.idempotency = IdempotencyHandler(
            node=self.node, run=self.router.run, ask=self.calls.ask_outcome
        )
        self.requests = RequestServer(
            node=self.node,
            router=self.router,
            idempotency=self.idempotency,
            metrics=self.metrics,
        )
        self.acceptor = Acceptor(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            serve=self.requests.serve,
            send_packet=self.replies.send_reply,
        )
        self.receive_datagrams()
        handler = PeerHandler(
            node=self.node, router=self.router, idempotency=self.idempotency
        )
        self.peer_port = PeerPort(runtime=self.runtime, handlers=[handler])
        await self.peer_port.start()
        # The names of tasks appear in logs and stay when a component is renamed.
        self.runtime.spawn(self.health.run(), name="health")
        self.runtime.spawn(self.slots.run(), name="slots")
        self.runtime.spawn(self.load_reports.run(), name="gauges")
        self.runtime.spawn(self.replies.run(), name="returns")
        self.runtime.spawn(self.drain_process.watch_instance_list(), name="leaving")

    async def open_socket(self) -> None:
        """Bind the inner socket, then set the incarnation one tick later.

        The tick makes the incarnation greater than that of every earlier process
        on this address, see :func:`incarnation_at`.
        """
        self.node.socket = await open_inner_socket(
            local=self.node.inner, log=self.node.log
        )
        await asyncio.sleep(TICK_SECONDS)
        self.runtime.incarnation = incarnation_at(self.runtime.now())

    def receive_datagrams(self) -> None:
        """Create the handlers of inner datagrams and attach them to the socket."""
        first_flights = FirstFlightHandler(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            accept=self.acceptor.accept,
            choose=self.choose_flight,
        )
        dispatcher = Dispatcher(
            node=self.node,
            table=self.table,
            first_flights=first_flights,
            metrics=self.metrics,
            listeners={
                Kind.PROBE_ANSWER: self.replies.record_probe_answer,
                Kind.LOAD_REPORT: self.load_reports.handle,
            },
        )
        self.node.socket.on_datagram = dispatcher.on_datagram

    def choose_flight(self, datagram: Datagram) -> FlightDecision:
        """Decide whether a new connection is accepted, passed on or refused."""
        if self.node.newest_key() is None:
            return RefuseFlight(reason=FlightReason.FULL)
        agents = {peer.id: peer.agent for peer in self.node.peers}
        own = self.node.inner
        return decide_first_flight(
            placement=self.node.service.placement,
            own=self.build_load_report(sequence=0),
            candidates=[agent for agent in datagram.candidates if agent != own],
            reports={
                agents[entry.peer]: entry.report for entry in self.peer_selector.fresh()
            },
            hops=datagram.hops,
        )

    def choose_peer(self) -> HandToPeer | None:
        """Return a less loaded peer for a request that waits here, if any.

        The request itself is left out of this agent's own load.
        """
        report = self.build_load_report(sequence=0)
        return self.peer_selector.choose(
            evolve(report, waiting=max(report.waiting - 1, 0))
        )

    def build_load_report(self, *, sequence: int) -> LoadReport:
        """Return a report of the current load."""
        upstream = self.node.upstream
        return LoadReport(
            slots=upstream.slots,
            running=self.slots.running,
            waiting=self.slots.waiting,
            connections=len(self.table),
            max_connections=upstream.max_connections,
            service_seconds=self.slots.service_times.overall_seconds,
            leaving=self.node.leaving,
            ready=self.is_ready(),
            sequence=sequence,
            recent_completions=self.slots.recent_completions.count(now=self.node.now()),
        )

    def is_ready(self) -> bool:
        """Return whether the upstream is expected to accept requests.

        Its health check has to pass, and it must be neither shedding nor silent.
        """
        is_open = self.slots.limit.state is UpstreamState.OPEN
        return self.health.ready and is_open

    def count_detached_requests(self) -> int:
        """Count requests that may run without an open connection of a caller.

        Requests of open connections are included, and a first run that holds or
        waits for a slot is counted twice; 0 means that there are none.
        """
        return (
            self.slots.running + self.slots.waiting + len(self.idempotency.first_runs)
        )

    async def drain(self) -> None:
        """Drain the agent; return once the process may exit."""
        await self.drain_process.run(reason="signal")

    async def stop(self) -> None:
        """Close every connection and socket."""
        for connection in self.table.connections():
            connection.close(reason="host stopped")
        await asyncio.sleep(0)
        await self.peer_port.stop()
        self.calls.close()
        await self.upstream.close()
        if self.node.socket is not None:
            self.node.socket.close()
