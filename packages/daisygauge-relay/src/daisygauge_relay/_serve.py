"""The part of a relayed process that needs the event loop; loading it takes long."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import uvloop

import daisygauge_relay

from ._log import QueuedLog
from ._metrics import MetricsPage
from ._pages import GetPage
from ._platform import Platform
from ._runtime import RelayRuntime
from ._settings import RelaySettings
from ._sockets import RoleSockets

# Names in the package, whose modules are loaded when they are asked for: a process
# needs one of the two.
_ROLES = {"balancer": "RelayBalancer", "agent": "RelayAgent"}


def serve_role(
    *,
    role: str,
    settings: RelaySettings,
    settings_path: str,
    sockets: RoleSockets,
    platform: Platform,
    must_reload: Callable[[], bool],
) -> int:
    """Run a role until SIGTERM; returns the exit code.

    :param must_reload: tells whether the settings may have changed since they were
        read.
    :raises OSError: an address can't be bound.
    """

    async def serve() -> int:
        runtime = RelayRuntime(
            name=role,
            settings=settings,
            settings_path=settings_path,
            reader=platform.create_reader(settings),
            log=QueuedLog(
                descriptor=sys.stdout.fileno(),
                delay_seconds=settings.log_delay_seconds,
            ),
            incarnation=time.time_ns() // 1_000_000,
        )
        pages: dict[str, GetPage] = {platform.readiness_path: runtime.readiness_page}
        create = getattr(daisygauge_relay, _ROLES[role])
        running = create(runtime=runtime, settings=settings, codec=platform.codec)
        metrics = MetricsPage(runtime=runtime, gauges=running.gauges())
        return await runtime.run(
            running,
            sockets=sockets,
            pages=pages,
            metrics=metrics.answer,
            must_reload=must_reload,
        )

    return uvloop.run(serve())
