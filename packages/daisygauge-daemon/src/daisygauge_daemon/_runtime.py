"""Parts that both roles share: log, metrics, readiness, configuration and tasks."""

from __future__ import annotations

import asyncio
import signal
import time
import traceback
from collections.abc import Coroutine
from typing import Any, Protocol

from prometheus_client import CollectorRegistry

from daisygauge_control import ConfigurationSource, ConfigurationView

from . import _events as events
from ._events import EventLog, Level
from ._http import OperationsService
from ._metrics import RuntimeMetrics
from ._readiness import Readiness
from ._settings import Settings

EXIT_STOPPED = 0
EXIT_FAILED = 1
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READY_POLL_SECONDS = 0.05
INCARNATIONS_PER_SECOND = 10
INCARNATION_EPOCH = 1_767_225_600.0
"""Unix time in seconds of 2026-01-01, from which incarnations are counted."""


def new_incarnation(*, now: float) -> int:
    """Return the number of a process start; a later start has a higher number.

    :param now: Unix time in seconds.
    """
    elapsed = max(now - INCARNATION_EPOCH, 0.0)
    return int(elapsed * INCARNATIONS_PER_SECOND) + 1


def create_log(settings: Settings) -> EventLog:
    """Create the event log with the level of the settings."""
    return EventLog(level=Level[settings.log.level.upper()])


class Role(Protocol):
    """Interface of the balancer and the agent towards the runtime."""

    async def start(self) -> None:
        """Bind every socket and start to serve."""

    async def drain(self) -> None:
        """Finish the work in progress; return when the process may exit."""

    async def stop(self) -> None:
        """Close every socket."""


class Runtime:
    """State of a daemon process that does not depend on its role.

    :param settings: settings of this process.
    :param source: source of the configuration; ``run`` is one of the daemon's tasks.
    :param log: log of this daemon; None creates one from the settings.
    :param registry: metrics of this daemon; None creates an empty registry.
    :param incarnation: number of this start of the process.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        source: ConfigurationSource,
        incarnation: int,
        log: EventLog | None = None,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self.settings = settings
        self.source = source
        self.incarnation = incarnation
        self.log = log or create_log(settings)
        self.registry = registry or CollectorRegistry()
        self.readiness = Readiness(unmet={"configuration"})
        self.metrics = RuntimeMetrics(registry=self.registry, readiness=self.readiness)
        self.metrics.daemon.info(
            {
                "id": settings.id,
                "role": settings.role,
                "failure_domain": settings.failure_domain,
                "incarnation": str(incarnation),
            }
        )
        self.stopping = asyncio.Event()
        self.exit_code = EXIT_STOPPED
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.source.view

    def now(self) -> float:
        """Unix time in seconds."""
        return time.time()

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> asyncio.Task:
        """Run a task that must not end with an error.

        An unexpected error is logged and stops the daemon with ``EXIT_FAILED``.
        """
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.handle_task_end)
        return task

    def handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Remove a task that ended; log its error, if any, and stop the daemon."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.write(
            events.TASK_FAILED,
            task=task.get_name(),
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )
        self.exit_code = EXIT_FAILED
        self.stopping.set()

    def operations_service(self) -> OperationsService:
        """Create the HTTP endpoints of this daemon."""
        return OperationsService(
            host=self.settings.host,
            port=self.settings.metrics_port,
            registry=self.registry,
            readiness=self.readiness,
        )

    async def track_configuration(self) -> None:
        """Set readiness at the first configuration, then export each new version."""
        while not self.source.ready:
            await asyncio.sleep(READY_POLL_SECONDS)
        view = self.view
        self.log.write(
            events.CONFIGURATION_READY,
            version=view.version,
            services=sorted(view.services),
        )
        self.readiness.set("configuration", True)
        self.metrics.configuration_revision.set_function(
            lambda: float(self.source.revision)
        )
        while True:
            self.metrics.configuration_version.set(view.version)
            view = await self.source.wait_for_change(after=view.version)


async def cancel_tasks(tasks: set[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until each has ended."""
    waiting = tuple(tasks)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def run_role(*, role: Role, runtime: Runtime) -> int:
    """Run a daemon until a stop signal or a failed task, then drain it.

    The shutdown order is fixed: the daemon reports not ready, finishes its work
    and then closes its sockets.

    :return: the exit code.
    """
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, runtime.stopping.set)
    settings = runtime.settings
    runtime.spawn(runtime.source.run(), name="configuration")
    runtime.spawn(runtime.track_configuration(), name="readiness")
    await role.start()
    runtime.log.write(
        events.STARTED,
        role=settings.role,
        id=settings.id,
        region=settings.region,
        failure_domain=settings.failure_domain,
        incarnation=runtime.incarnation,
    )
    await runtime.stopping.wait()
    runtime.readiness.leaving = True
    runtime.log.write(events.DRAINING, role=settings.role, id=settings.id)
    await role.drain()
    await role.stop()
    await cancel_tasks(runtime.tasks)
    runtime.log.write(
        events.STOPPED,
        role=settings.role,
        id=settings.id,
        exit_code=runtime.exit_code,
    )
    return runtime.exit_code
