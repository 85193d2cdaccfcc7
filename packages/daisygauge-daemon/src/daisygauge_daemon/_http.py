"""HTTP endpoints for operators and the platform."""

from __future__ import annotations

from aiohttp import web
from aiomisc.service.aiohttp import AIOHTTPService
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from ._readiness import Readiness

_READY_STATUS = {True: 200, False: 503}


class OperationsService(AIOHTTPService):
    """Serves ``/metrics``, ``/ready`` and ``/live``.

    :param registry: metrics of this daemon.
    :param readiness: conditions that ``/ready`` reports.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        registry: CollectorRegistry,
        readiness: Readiness,
    ) -> None:
        super().__init__(
            address=host,
            port=port,
            runner_kwargs={"access_log": None},
        )
        self.registry = registry
        self.readiness = readiness

    async def create_application(self) -> web.Application:
        """Create the application with its routes."""
        application = web.Application()
        application.router.add_get("/metrics", self.get_metrics)
        application.router.add_get("/ready", self.get_ready)
        application.router.add_get("/live", self.get_live)
        return application

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in Prometheus' text format."""
        return web.Response(
            body=generate_latest(self.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def get_ready(self, request: web.Request) -> web.Response:
        """Answer 200 while the daemon accepts new traffic, else 503 with reasons."""
        reasons = sorted(self.readiness.unmet)
        if self.readiness.leaving:
            reasons.append("leaving")
        return web.json_response(
            {"ready": self.readiness.ready, "reasons": reasons},
            status=_READY_STATUS[self.readiness.ready],
        )

    async def get_live(self, request: web.Request) -> web.Response:
        """Answer 200 while the event loop runs."""
        return web.json_response({"live": True})
