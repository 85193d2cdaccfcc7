"""The part of a process that needs the event loop; importing it is slow."""

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

# Names in the package. Their modules are loaded on first access, since a process needs
# only one of the two.
_ROLES = {"balancer": "RelayBalancer", "agent": "RelayAgent"}


def serve_role(
    *,
    role: str,
    settings: RelaySettings,
    settings_path: str,
    sockets: RoleSockets,
    platform: Platform,
    reload_requested: Callable[[], bool],
) -> int:
    """Run a role until SIGTERM.

    :param role: ``balancer`` or ``agent``.
    :param reload_requested: returns True when the settings may have changed since they
        were read.
    :return: the exit code.
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
            reload_requested=reload_requested,
        )

    return uvloop.run(serve())
