"""Stand-in for the fabric: forwards each datagram of a caller to a random balancer.

The fabric binds the service addresses. Each caller of a service gets one socket
towards the balancers, so that they see a stable source address; the choice of a
balancer is not sticky. The control port accepts ``PUT`` on ``/services``,
``/balancers``, ``/faults`` and ``/forget``, and serves ``GET /state``.
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

from daisygauge_emulator._server import create_stop_event, run_main, start_server
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
    """HTTP handlers of the control port and readiness checks of balancers.

    :ivar failures: consecutive failed checks by the balancer's id.
    """

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
                web.put("/forget", self.silence_callers),
                web.get("/state", self.read_state),
            ]
        )
        return application

    async def parse_body(self, request: web.Request, model: Any) -> Any:
        """Parse the JSON body as a model; answer 400 with the reason if invalid."""
        try:
            return self.converter.structure(json.loads(await request.read()), model)
        except (ValueError, cattrs.BaseValidationError) as error:
            reasons = "; ".join(cattrs.transform_error(error))
            raise web.HTTPBadRequest(text=reasons) from error

    async def put_services(self, request: web.Request) -> web.Response:
        """Add the service addresses of the body; known services stay."""
        self.sprayer.set_services(await self.parse_body(request, list[ServiceAddress]))
        return web.json_response(True)

    async def put_balancers(self, request: web.Request) -> web.Response:
        """Replace the list of balancers; each gets datagrams once it is ready."""
        self.sprayer.set_balancers(await self.parse_body(request, list[Balancer]))
        return web.json_response(True)

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace all faults; an empty object clears them."""
        self.sprayer.set_faults(await self.parse_body(request, Faults))
        return web.json_response(True)

    async def silence_callers(self, request: web.Request) -> web.Response:
        """Silence the current callers of one service or of all services.

        On the wire this is ``/forget`` and the number of callers ``forgotten``.
        """
        body = json.loads(await request.read())
        try:
            direction = Direction(body.get("direction", "both"))
        except ValueError as error:
            raise web.HTTPBadRequest(
                text=f"{error}; write in, out or both as direction"
            ) from error
        count = self.sprayer.silence_callers(
            service=body.get("service"),
            caller=body.get("caller"),
            direction=direction,
        )
        return web.json_response({"forgotten": count})

    async def read_state(self, request: web.Request) -> web.Response:
        """Serve the live balancers, the current callers and the counters."""
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

    async def poll_readiness(self) -> None:
        """Check every balancer periodically and close idle mappings until cancelled."""
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                balancers = list(self.sprayer.balancers.values())
                await asyncio.gather(
                    *(self.check_readiness(session, b) for b in balancers)
                )
                self.sprayer.close_idle_mappings(now=asyncio.get_running_loop().time())
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def check_readiness(
        self, session: aiohttp.ClientSession, balancer: Balancer
    ) -> None:
        """Check the readiness of one balancer.

        A status other than 200 withdraws the balancer immediately, failed requests
        after ``FAILURES_UNTIL_WITHDRAWN`` consecutive checks.
        """
        try:
            async with session.get(balancer.ready_url) as answer:
                self.failures[balancer.id] = 0
                self.sprayer.set_live(balancer.id, live=answer.status == 200)
        except (aiohttp.ClientError, TimeoutError):
            self.failures[balancer.id] = self.failures.get(balancer.id, 0) + 1
            if self.failures[balancer.id] >= FAILURES_UNTIL_WITHDRAWN:
                self.sprayer.set_live(balancer.id, live=False)


async def serve() -> None:
    """Forward datagrams until SIGTERM or SIGINT."""
    stopped = create_stop_event()
    sprayer = Sprayer(source_host=flags.FLAGS.source_host, seed=flags.FLAGS.seed)
    fabric = Fabric(sprayer)
    runner = await start_server(
        fabric.application(), host=flags.FLAGS.host, port=flags.FLAGS.port
    )
    poller = asyncio.create_task(fabric.poll_readiness())
    await stopped.wait()
    poller.cancel()
    sprayer.close()
    await runner.cleanup()


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_string("host", "127.0.0.1", "IPv4 address of the control port.")
    flags.DEFINE_integer("port", 8501, "TCP port of the control port.", 0, 65535)
    flags.DEFINE_string(
        "source_host", "127.0.0.1", "IPv4 address of the sockets towards balancers."
    )
    flags.DEFINE_integer(
        "seed", 1, "Seed of the choice of balancers and of the faults."
    )


if __name__ == "__main__":
    define_flags()
    run_main(serve)
