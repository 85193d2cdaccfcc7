"""What the roles share: log, metrics, readiness, configuration and tasks."""

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
READY_CHECK_SECONDS = 0.05
INCARNATIONS_PER_SECOND = 10
FIRST_INCARNATION_AT = 1_767_225_600.0
"""Unix time in seconds of 2026-01-01, from which incarnations are counted."""


def new_incarnation(*, now: float) -> int:
    """Number one start of a process; a later start has the higher number.

    :param now: Unix time in seconds.
    """
    elapsed = max(now - FIRST_INCARNATION_AT, 0.0)
    return int(elapsed * INCARNATIONS_PER_SECOND) + 1


def create_log(settings: Settings) -> EventLog:
    """Build the log that the settings ask for."""
    return EventLog(level=Level[settings.log.level.upper()])


class Role(Protocol):
    """What a daemon does once it runs."""

    async def start(self) -> None:
        """Bind every socket and begin."""

    async def drain(self) -> None:
        """Finish what was begun; returns when the process may end."""

    async def stop(self) -> None:
        """Close every socket."""


class Runtime:
    """One daemon's surroundings.

    :param settings: settings of this process.
    :param source: configuration in force; ``run`` is one of the daemon's tasks.
    :param log: where events go, made from the settings when absent.
    :param registry: metrics of this daemon, made new when absent.
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
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Account for a task that ended."""
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
        """Build the HTTP endpoints of this daemon."""
        return OperationsService(
            host=self.settings.host,
            port=self.settings.metrics_port,
            registry=self.registry,
            readiness=self.readiness,
        )

    async def follow_readiness(self) -> None:
        """Report the configuration as ready once there is one."""
        while not self.source.ready:
            await asyncio.sleep(READY_CHECK_SECONDS)
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
    """Run a daemon until it is told to stop, then drain it.

    The order of the end is fixed: not ready first, then no more work, then
    sockets closed.

    :return: the exit code.
    """
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, runtime.stopping.set)
    settings = runtime.settings
    runtime.spawn(runtime.source.run(), name="configuration")
    runtime.spawn(runtime.follow_readiness(), name="readiness")
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
