"""Whether the upstream takes requests, by its own health check."""

from __future__ import annotations

import asyncio

import aiohttp

from . import _events as events
from ._node import AgentNode
from ._upstream import UpstreamBrokenError, UpstreamClient

CHECK_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0
FAILURES_UNTIL_NOT_READY = 3


class HealthCheck:
    """Asks the upstream regularly; the answer is a hint that may be wrong.

    :ivar ready: False until the first good answer, and after several bad ones.
    """

    def __init__(self, *, node: AgentNode, upstream: UpstreamClient) -> None:
        self.node = node
        self.upstream = upstream
        self.ready = False
        self.failures = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_SECONDS)

    async def check(self) -> None:
        """Ask once and take in the answer."""
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
        """Note a change."""
        if ready == self.ready:
            return
        self.ready = ready
        self.node.runtime.readiness.set("upstream", ready)
        self.node.log.write(events.UPSTREAM_STATE, ready=ready, reason=reason)
