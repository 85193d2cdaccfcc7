"""Stand-in for the fabric: sprays each datagram of a caller over the balancers.

It owns the service addresses. Each caller of a service gets one socket towards
the balancers, so that they see a stable address; nothing else is sticky. The
control port takes ``PUT /services``, ``/balancers``, ``/faults`` and
``/forget``, and serves ``GET /state``.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import cattrs
from absl import flags
from aiohttp import web
from attrs import asdict

from daisygauge_emulator._server import run_main, start_server, stop_event
from daisygauge_emulator._spray import (
    Balancer,
    Direction,
    Faults,
    ServiceAddress,
    Sprayer,
)

POLL_INTERVAL_SECONDS = 0.3
POLL_TIMEOUT_SECONDS = 0.25
FAILURES_UNTIL_WITHDRAWN = 2


class Fabric:
    """The control port and the readiness checks of the fabric."""

    def __init__(self, sprayer: Sprayer) -> None:
        self.sprayer = sprayer
        self.failures: dict[str, int] = {}
        self.converter = cattrs.Converter(forbid_extra_keys=True)

    def application(self) -> web.Application:
        """Build the control application."""
        application = web.Application()
        application.add_routes(
            [
                web.put("/services", self.put_services),
                web.put("/balancers", self.put_balancers),
                web.put("/faults", self.put_faults),
                web.put("/forget", self.forget),
                web.get("/state", self.read_state),
            ]
        )
        return application

    async def read(self, request: web.Request, model: Any) -> Any:
        """Read the body as a model, or refuse it with the reason."""
        try:
            return self.converter.structure(json.loads(await request.read()), model)
        except (ValueError, cattrs.BaseValidationError) as error:
            reasons = "; ".join(cattrs.transform_error(error))
            raise web.HTTPBadRequest(text=reasons) from error

    async def put_services(self, request: web.Request) -> web.Response:
        """Replace the list of service addresses."""
        self.sprayer.set_services(await self.read(request, list[ServiceAddress]))
        return web.json_response(True)

    async def put_balancers(self, request: web.Request) -> web.Response:
        """Replace the list of balancers; each is used once it is ready."""
        self.sprayer.set_balancers(await self.read(request, list[Balancer]))
        return web.json_response(True)

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace all faults; an empty object ends them."""
        self.sprayer.set_faults(await self.read(request, Faults))
        return web.json_response(True)

    async def forget(self, request: web.Request) -> web.Response:
        """Silence the present callers of a service, or of all of them."""
        body = json.loads(await request.read())
        try:
            direction = Direction(body.get("direction", "both"))
        except ValueError as error:
            raise web.HTTPBadRequest(
                text=f"{error}; write in, out or both as direction"
            ) from error
        count = self.sprayer.forget(
            service=body.get("service"),
            caller=body.get("caller"),
            direction=direction,
        )
        return web.json_response({"forgotten": count})

    async def read_state(self, request: web.Request) -> web.Response:
        """Serve the live balancers, the counters and the number of callers."""
        return web.json_response(
            {
                "live": sorted(self.sprayer.live),
                "callers": [
                    {"service": m.service.id, "caller": "{}:{}".format(*m.caller)}
                    for m in self.sprayer.mappings.values()
                ],
                "counters": asdict(self.sprayer.counters),
            }
        )

    async def poll(self) -> None:
        """Check the readiness of every balancer until cancelled."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                balancers = list(self.sprayer.balancers.values())
                await asyncio.gather(*(self.check(session, b) for b in balancers))
                self.sprayer.drop_idle_callers(now=asyncio.get_running_loop().time())
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def check(self, session: aiohttp.ClientSession, balancer: Balancer) -> None:
        """Ask one balancer once; not ready withdraws it at once."""
        try:
            async with session.get(balancer.ready_url) as answer:
                self.failures[balancer.id] = 0
                self.sprayer.set_live(balancer.id, live=answer.status == 200)
        except (aiohttp.ClientError, TimeoutError):
            self.failures[balancer.id] = self.failures.get(balancer.id, 0) + 1
            if self.failures[balancer.id] >= FAILURES_UNTIL_WITHDRAWN:
                self.sprayer.set_live(balancer.id, live=False)


async def serve() -> None:
    """Pass datagrams until a signal."""
    stopped = stop_event()
    sprayer = Sprayer(source_host=flags.FLAGS.source_host, seed=flags.FLAGS.seed)
    fabric = Fabric(sprayer)
    runner = await start_server(
        fabric.application(), host=flags.FLAGS.host, port=flags.FLAGS.port
    )
    poller = asyncio.create_task(fabric.poll())
    await stopped.wait()
    poller.cancel()
    sprayer.close()
    await runner.cleanup()


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_string("host", "127.0.0.1", "IPv4 address of the control port.")
    flags.DEFINE_integer("port", 8501, "TCP port of the control port.", 0, 65535)
    flags.DEFINE_string(
        "source_host", "127.0.0.1", "IPv4 address from which balancers are sent to."
    )
    flags.DEFINE_integer("seed", 1, "Seed of the choice of a balancer.")


if __name__ == "__main__":
    define_flags()
    run_main(serve)
