"""Leaving: no new work, and an end to what runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from daisygauge_policy import DrainStage, decide_drain_stage

from . import _events as events
from ._connection import CallerConnection
from ._metrics import AgentMetrics
from ._node import AgentNode
from ._table import ConnectionTable

CHECK_SECONDS = 0.1
GRACE_SECONDS = 1.0
"""How long an unused connection stays open after GOAWAY."""
LONGEST_DRAIN_SECONDS = 12 * 3600.0


class Drain:
    """Makes an agent leave, and tells when it has left.

    :param on_leaving: called once, so that peers hear of it at once.
    :param count_unseen: requests that no connection shows: those of peers, and
        keyed ones whose caller is gone.
    :param longest_seconds: time after which open connections are cut.
    """

    def __init__(
        self,
        *,
        node: AgentNode,
        table: ConnectionTable,
        metrics: AgentMetrics,
        on_leaving: Callable[[], None],
        count_unseen: Callable[[], int],
        longest_seconds: float = LONGEST_DRAIN_SECONDS,
    ) -> None:
        self.node = node
        self.table = table
        self.metrics = metrics
        self.on_leaving = on_leaving
        self.count_unseen = count_unseen
        self.longest_seconds = longest_seconds
        self.leaving_since: float | None = None

    def may_run(self) -> bool:
        """Tell whether requests may still begin here."""
        stage = decide_drain_stage(
            leaving_since=self.leaving_since, open_requests=1, now=self.node.now()
        )
        return stage in (DrainStage.SERVING, DrainStage.LEAVING)

    def leave(self, *, reason: str) -> None:
        """Take no new flow and no new request from now on."""
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

    async def watch_list(self) -> None:
        """Leave when the instance list says so."""
        view = self.node.view
        while True:
            instance = view.instances.get(self.node.settings.id)
            if instance is not None and instance.leaving:
                self.leave(reason="instance-list")
            view = await self.node.runtime.source.wait_for_change(after=view.version)

    async def run(self, *, reason: str) -> None:
        """Leave and wait until nothing runs any more."""
        self.leave(reason=reason)
        try:
            async with asyncio.timeout(self.longest_seconds):
                await self.wait_until_idle()
        except TimeoutError:
            connections = self.table.connections()
            self.node.log.write(
                events.DRAIN_CUT,
                connections=len(connections),
                requests=count_requests(connections),
            )

    async def wait_until_idle(self) -> None:
        """Wait for the end of every request; close connections that have none."""
        idle_since: dict[CallerConnection, float] = {}
        loop = asyncio.get_running_loop()
        while len(self.table) or self.count_unseen():
            now = loop.time()
            for connection in self.table.connections():
                connection.go_away()
                if connection.tasks or connection.has_unsent():
                    idle_since.pop(connection, None)
                elif now - idle_since.setdefault(connection, now) >= GRACE_SECONDS:
                    connection.close(reason="host leaving")
            await asyncio.sleep(CHECK_SECONDS)


def count_requests(connections: tuple[CallerConnection, ...]) -> int:
    """Count the requests that run on some connections."""
    return sum(len(connection.tasks) for connection in connections)
