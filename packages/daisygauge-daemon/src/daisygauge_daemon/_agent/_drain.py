"""Drain of an agent: no new work, while running requests finish."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from daisygauge_policy import DrainStage, decide_drain_stage

from . import _events as events
from ._connection import CallerConnection
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._table import ConnectionTable

CHECK_INTERVAL_SECONDS = 0.1
GRACE_SECONDS = 1.0
"""How long an idle connection stays open after GOAWAY."""
MAX_DRAIN_SECONDS = 12 * 3600.0


class Drain:
    """Drains an agent: refuses new work and waits for running requests.

    :param on_leaving: called once at the start, to report the state to peers at once.
    :param count_detached_requests: counts requests that may run without a connection:
        those of peers, and those with an idempotency key whose caller is gone.
    :param max_drain_seconds: time after which the drain ends with connections open.
    :ivar leaving_since: Unix time in seconds, None before the drain.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        table: ConnectionTable,
        metrics: AgentMetrics,
        on_leaving: Callable[[], None],
        count_detached_requests: Callable[[], int],
        max_drain_seconds: float = MAX_DRAIN_SECONDS,
    ) -> None:
        self.node = node
        self.table = table
        self.metrics = metrics
        self.on_leaving = on_leaving
        self.count_detached_requests = count_detached_requests
        self.max_drain_seconds = max_drain_seconds
        self.leaving_since: float | None = None

    def may_run(self) -> bool:
        """Return whether requests may still start here."""
        stage = decide_drain_stage(
            leaving_since=self.leaving_since, open_requests=1, now=self.node.now()
        )
        return stage in (DrainStage.SERVING, DrainStage.LEAVING)

    def leave(self, *, reason: str) -> None:
        """Start the drain: accept no new connection or hand-off, and send GOAWAY."""
        if self.node.leaving:
            return
        self.node.leaving = True
        self.leaving_since = self.node.now()
        self.node.runtime.readiness.leaving = True
        self.metrics.leaving.set(1)
        self.on_leaving()
        connections = self.table.connections()
        self.node.log.write(
            events.LEAVING,
            reason=reason,
            connections=len(connections),
            requests=count_requests(connections),
        )
        for connection in connections:
            connection.go_away()

    async def watch_instance_list(self) -> None:
        """Start the drain when the instance list marks this agent as leaving."""
        view = self.node.view
        while True:
            instance = view.instances.get(self.node.settings.id)
            if instance is not None and instance.leaving:
                self.leave(reason="instance-list")
            view = await self.node.runtime.source.wait_for_change(after=view.version)

    async def run(self, *, reason: str) -> None:
        """Start the drain; wait until no connection is open and no request runs.

        The wait ends after ``max_drain_seconds``.
        """
        self.leave(reason=reason)
        try:
            async with asyncio.timeout(self.max_drain_seconds):
                await self.wait_until_idle()
        except TimeoutError:
            connections = self.table.connections()
            self.node.log.write(
                events.DRAIN_CUT,
                connections=len(connections),
                requests=count_requests(connections),
            )

    async def wait_until_idle(self) -> None:
        """Wait until no connection is open and no request runs.

        A connection without requests is closed after ``GRACE_SECONDS``.
        """
        idle_since: dict[CallerConnection, float] = {}
        loop = asyncio.get_running_loop()
        while len(self.table) or self.count_detached_requests():
            now = loop.time()
            for connection in self.table.connections():
                connection.go_away()
                if connection.tasks or connection.has_unacknowledged_data():
                    idle_since.pop(connection, None)
                elif now - idle_since.setdefault(connection, now) >= GRACE_SECONDS:
                    connection.close(reason="host leaving")
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)


def count_requests(connections: tuple[CallerConnection, ...]) -> int:
    """Return the number of requests that run on the connections."""
    return sum(len(connection.tasks) for connection in connections)
