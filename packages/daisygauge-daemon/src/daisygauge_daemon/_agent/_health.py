"""Polling of the upstream's health check."""

from __future__ import annotations

import asyncio

import aiohttp

from . import _events as events
from ._node import AgentNode
from ._upstream import UpstreamBrokenError, UpstreamClient

CHECK_INTERVAL_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0
FAILURES_UNTIL_NOT_READY = 3


class HealthCheck:
    """Polls the upstream's health check.

    A passing check doesn't prove that the upstream accepts requests, see
    :meth:`Agent.is_ready`.

    :ivar ready: False until the first success, and after
        ``FAILURES_UNTIL_NOT_READY`` failures in a row.
    """

    def __init__(self, *, node: AgentNode, upstream: UpstreamClient) -> None:
        self.node = node
        self.upstream = upstream
        self.ready = False
        self.failures = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def check(self) -> None:
        """Poll once and update the state."""
        path = self.node.settings.upstream.health_path
        try:
            await self.upstream.fetch_json(path, timeout_seconds=CHECK_TIMEOUT_SECONDS)
        except (aiohttp.ClientError, UpstreamBrokenError, OSError, ValueError) as error:
            self.failures += 1
            if self.failures >= FAILURES_UNTIL_NOT_READY:
                self.set_ready(False, reason=repr(error))
            return
        self.failures = 0
        self.set_ready(True, reason="healthy")

    def set_ready(self, ready: bool, *, reason: str) -> None:
        """Set the state; publish and log a change."""
        if ready == self.ready:
            return
        self.ready = ready
        self.node.runtime.readiness.set("upstream", ready)
        self.node.log.write(events.UPSTREAM_STATE, ready=ready, reason=reason)
