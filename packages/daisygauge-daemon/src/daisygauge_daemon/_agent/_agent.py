"""The agent: ends callers' connections beside one upstream."""

from __future__ import annotations

import asyncio

from daisygauge_records import Endpoint
from daisygauge_wire import Datagram, Gauge, Kind, PlacedStatus

from .._runtime import Runtime
from ._acceptor import Acceptor
from ._dispatch import Dispatcher
from ._drain import Drain
from ._execution import Executor
from ._flights import Flights
from ._gauges import GaugeExchange
from ._health import HealthCheck
from ._incarnation import TICK_SECONDS, incarnation_at
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._placing import FlightDecision, choose_flight
from ._request import RequestServer
from ._returns import Returns
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
        self.slots = Slots(node=self.node)
        self.gauges = GaugeExchange(node=self.node, load=self)
        self.returns = Returns(node=self.node, gauges=self.gauges)
        runtime.readiness.set("upstream", False)

    async def start(self) -> None:
        """Bind every socket and begin."""
        settings = self.node.settings
        self.upstream = UpstreamClient(
            endpoint=Endpoint(host=settings.upstream.host, port=settings.upstream.port)
        )
        self.health = HealthCheck(node=self.node, upstream=self.upstream)
        self.executor = Executor(
            node=self.node,
            slots=self.slots,
            upstream=self.upstream,
            metrics=self.metrics,
        )
        self.requests = RequestServer(
            node=self.node, executor=self.executor, metrics=self.metrics
        )
        self.acceptor = Acceptor(
            node=self.node,
            table=self.table,
            metrics=self.metrics,
            serve=self.requests.serve,
            send_reply=self.returns.send_reply,
        )
        self.drain_process = Drain(
            node=self.node, table=self.table, metrics=self.metrics
        )
        await self.open_socket()
        self.runtime.spawn(self.health.run(), name="health")
        self.runtime.spawn(self.gauges.run(), name="gauges")
        self.runtime.spawn(self.returns.run(), name="returns")
        self.runtime.spawn(self.drain_process.watch_list(), name="leaving")

    async def open_socket(self) -> None:
        """Bind the inner socket; the incarnation begins after that."""
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
                Kind.GAUGE: self.gauges.take,
            },
        )
        self.node.socket = await open_inner_socket(
            local=self.node.inner, on_datagram=dispatcher.on_datagram
        )
        await asyncio.sleep(TICK_SECONDS)
        self.runtime.incarnation = incarnation_at(self.runtime.now())

    def choose_flight(self, datagram: Datagram) -> FlightDecision:
        """Decide about a new connection."""
        return choose_flight(
            datagram, own=self.node.inner, obstacle=self.find_obstacle()
        )

    def find_obstacle(self) -> PlacedStatus | None:
        """Say why no new connection is taken, if so."""
        if self.node.leaving:
            return PlacedStatus.LEAVING
        if self.node.newest_key() is None or not self.health.ready:
            return PlacedStatus.FULL
        if len(self.table) >= self.node.upstream.max_connections:
            return PlacedStatus.FULL
        return None

    def read_gauge(self, *, sequence: int) -> Gauge:
        """Return the load now."""
        upstream = self.node.upstream
        return Gauge(
            slots=upstream.slots,
            running=self.slots.running,
            waiting=self.slots.waiting,
            connections=len(self.table),
            max_connections=upstream.max_connections,
            service_seconds=0.0,
            leaving=self.node.leaving,
            ready=self.health.ready,
            sequence=sequence,
        )

    async def drain(self) -> None:
        """Finish requests and connections; returns when the process may end."""
        await self.drain_process.run(reason="signal")

    async def stop(self) -> None:
        """Close every socket."""
        for connection in self.table.connections():
            connection.close(reason="host stopped")
        await asyncio.sleep(0)
        await self.upstream.close()
        if self.node.socket is not None:
            self.node.socket.close()
