"""What the tasks of one process share, and the order of its start and end."""

from __future__ import annotations

import asyncio
import os
import signal
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from daisygauge_control import (
    WATCH_SECONDS,
    Directory,
    DirectoryEvent,
    DirectoryFollower,
    DirectoryItem,
    DirectoryMoved,
    DirectoryReader,
    DirectoryServer,
    HostGone,
    HostRecord,
    PlatformCalled,
    RoutingRecord,
    Signal,
    SourceLost,
    SourceRegained,
    UnusableRecord,
)
from daisygauge_daemon import (
    CONFIGURATION_READY,
    DRAINING,
    STARTED,
    STOPPED,
    TASK_FAILED,
)

from . import _events as events
from ._counters import Gauge, RelayCounters
from ._exit_codes import EXIT_FAILED, EXIT_STOPPED
from ._log import QueuedLog
from ._pages import GetPage, Page, serve_pages
from ._settings import (
    RelaySettings,
    RelaySettingsError,
    load_relay_settings,
    parse_address,
)
from ._sockets import RoleSockets

METRICS_PATH = "/metrics"
DRAIN_POLL_SECONDS = 0.1
"""How often a stopping process looks whether it may end."""
SETTINGS_SECONDS = 1.0
"""How often the settings file is looked at; it may change without a signal."""
TASK_PAUSE_SECONDS = 0.5
"""Pause before a task that failed begins again."""
LONGEST_CHANGES = 20
"""Changes named in one line of the log."""


class RelayRole(Protocol):
    """A balancer or an agent."""

    async def start(self, sockets: RoleSockets) -> None:
        """Begin to read the sockets."""

    async def drain(self) -> None:
        """Finish what was begun; returns when the process may end."""

    def stop(self) -> None:
        """Close every socket."""

    def gauges(self) -> tuple[Gauge, ...]:
        """Return what the metrics page shows of this role."""


class RelayRuntime:
    """One process's surroundings.

    :param name: role, for logs.
    :param settings_path: file that the settings were read from.
    :param reader: reader of the platform.
    """

    def __init__(
        self,
        *,
        name: str,
        settings: RelaySettings,
        settings_path: str,
        reader: DirectoryReader,
        log: QueuedLog,
        incarnation: int,
    ) -> None:
        self.name = name
        self.settings = settings
        self.settings_path = settings_path
        self.log = log
        self.incarnation = incarnation
        self.loop = asyncio.get_running_loop()
        self.counters = RelayCounters()
        self.directory = Directory()
        self.changed = Signal()
        self.follower = DirectoryFollower(
            directory=self.directory,
            reader=reader,
            own_address=settings.host,
            peer_port=settings.peer_port,
            first_peers=[parse_address(peer).host for peer in settings.first_peers],
            changed=self.changed,
            clock=self.now,
            observe=self.observe,
            has_narrow_link=settings.has_narrow_link,
        )
        self.server = DirectoryServer(
            directory=self.directory,
            changed=self.changed,
            clock=self.now,
            report=self.report_error,
        )
        self.stopping = asyncio.Event()
        self.is_leaving = False
        # A stopping balancer that the fabric can't do without yet reports ready.
        self.is_needed = False
        self.exit_code = EXIT_STOPPED
        self.tasks: set[asyncio.Task[None]] = set()

    def load_settings(self) -> RelaySettings:
        """Read the settings file.

        :raises RelaySettingsError: the file can't be used.
        """
        return load_relay_settings(self.settings_path, type(self.settings))

    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.loop.time()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after a time."""
        self.loop.call_later(seconds, call)

    async def sleep(self, seconds: float) -> None:
        """Pause a task."""
        await asyncio.sleep(seconds)

    @property
    def is_ready(self) -> bool:
        """True while this process wants traffic."""
        wants_traffic = self.is_needed or not self.is_leaving
        return self.directory.view.is_complete and wants_traffic

    def report_error(self, error: Exception) -> None:
        """Log a defect that one datagram has shown; the process goes on."""
        self.counters.drop("defect")
        self.log.write(
            events.DATAGRAM_FAILED,
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )

    def belief(self) -> dict[str, Any]:
        """Return what decisions rest on, for the log."""
        age = self.now() - self.directory.confirmed
        return {
            "version": self.directory.view.version,
            "as_of": self.directory.as_of,
            "age_seconds": round(min(age, 9_999.0), 3),
        }

    def readiness_page(self) -> Page:
        """Answer whether this process wants traffic."""
        return Page(status=200 if self.is_ready else 503)

    def observe(self, event: DirectoryEvent) -> None:
        """Log what the follower of the directory reports."""
        match event:
            case PlatformCalled():
                # A wait that ended without news took its whole time by intent.
                waited = 0.0 if event.news else WATCH_SECONDS
                seconds = max(event.seconds - waited, 0.0)
                self.counters.platform_calls.observe(seconds)
            case DirectoryMoved():
                self.log_changes(event)
            case HostGone():
                self.log.write(events.HOST_GONE, host=event.id)
            case SourceLost():
                self.log.write(
                    events.SOURCE_LOST,
                    source=event.source,
                    reason=event.reason,
                    retry_seconds=round(event.retry_seconds, 3),
                )
            case SourceRegained():
                self.log.write(
                    events.SOURCE_REGAINED, source=event.source, failures=event.failures
                )

    def log_changes(self, moved: DirectoryMoved) -> None:
        """Log merged changes."""
        self.log.write(
            events.DIRECTORY_MOVED,
            source=moved.source,
            as_of=moved.as_of,
            source_age_seconds=round(moved.age_seconds, 3),
            version=self.directory.view.version,
            changes=[describe_item(item) for item in moved.items[:LONGEST_CHANGES]],
        )

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str) -> None:
        """Run a task that an unexpected error doesn't end.

        :param work: begins the task, and begins it again after an error. One message
            that nobody thought of must not cost the flows of the whole process.
        """
        self.spawn(self.repeat(work, name=name), name=name)

    async def repeat(
        self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> None:
        """Run a task until it ends without an error."""
        while True:
            try:
                return await work()
            except Exception as error:
                self.counters.failures[name] += 1
                self.log.write(
                    events.TASK_RESTARTED,
                    task=name,
                    error=repr(error),
                    traceback="".join(traceback.format_exception(error)),
                )
            await self.sleep(TASK_PAUSE_SECONDS)

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> None:
        """Run a task that must not end with an error."""
        task = asyncio.create_task(work, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Account for a task that ended; an unexpected error stops the process."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.write(
            TASK_FAILED,
            task=task.get_name(),
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )
        self.exit_code = EXIT_FAILED
        self.stopping.set()

    async def wait_complete(self, *, seconds: float) -> None:
        """Wait until there is a configuration to route by, for a bounded time."""
        until = self.now() + seconds
        while not self.directory.view.is_complete and not self.stopping.is_set():
            left = until - self.now()
            if left <= 0.0:
                return
            await self.changed.wait(seconds=left)

    async def run(
        self,
        role: RelayRole,
        *,
        sockets: RoleSockets,
        pages: dict[str, GetPage],
        metrics: GetPage,
        must_reload: Callable[[], bool],
    ) -> int:
        """Run a role until it is told to stop, then drain it.

        :param sockets: the role's sockets, bound already.
        :param pages: pages at the address of the readiness page.
        :param metrics: the page at the metrics address.
        :param must_reload: tells whether SIGHUP came before this one could take it.
        :return: the exit code.
        """
        self.keep(self.follower.run, name="directory")
        self.keep(self.follower.expire, name="directory-expiry")
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        if must_reload():
            self.reload()
        ready = parse_address(self.settings.ready)
        server = await serve_pages(host=ready.host, port=ready.port, pages=pages)
        self.spawn(self.serve_peers(metrics), name="peers")
        await role.start(sockets)
        self.log_start()
        self.keep(self.log.run, name="log")
        self.keep(self.log_readiness, name="readiness")
        self.keep(self.watch_settings, name="settings")
        await self.stopping.wait()
        self.is_leaving = True
        self.log.write(DRAINING, role=self.name, id=self.settings.id)
        await role.drain()
        server.close()
        role.stop()
        self.server.close()
        self.log.write(
            STOPPED, role=self.name, id=self.settings.id, exit_code=self.exit_code
        )
        for task in tuple(self.tasks):
            task.cancel()
        self.log.close()
        return self.exit_code

    def reload(self) -> None:
        """Read the settings file again; the last good settings stay if it is bad."""
        try:
            fresh = self.load_settings()
        except RelaySettingsError as error:
            self.log.write(events.SETTINGS_REFUSED, error=str(error))
            return
        changed = [
            name
            for name in fresh.__struct_fields__
            if getattr(fresh, name) != getattr(self.settings, name)
        ]
        self.settings = fresh
        self.log.write(events.SETTINGS_RELOADED, changed=changed)

    async def watch_settings(self) -> None:
        """Reload settings whose file changed without a signal."""
        modified = self.settings_time()
        while True:
            await self.sleep(SETTINGS_SECONDS)
            latest = self.settings_time()
            if latest != modified:
                modified = latest
                self.reload()

    def settings_time(self) -> int:
        """Return when the settings file was changed, or 0 when it is away."""
        try:
            return os.stat(self.settings_path).st_mtime_ns
        except OSError:
            return 0

    async def serve_peers(self, metrics: GetPage) -> None:
        """Answer other processes and those who read the metrics."""
        host = self.settings.host
        await self.server.start(host=host, port=self.settings.peer_port)
        await serve_pages(
            host=host, port=self.settings.metrics_port, pages={METRICS_PATH: metrics}
        )

    async def log_readiness(self) -> None:
        """Log the first configuration in force."""
        while not self.directory.view.is_complete:
            await self.changed.wait(seconds=1.0)
        self.log.write(
            CONFIGURATION_READY,
            version=self.directory.view.version,
            services=sorted(self.directory.view.hosts),
        )

    def log_start(self) -> None:
        """Log that this process serves."""
        self.log.write(
            STARTED,
            role=self.name,
            id=self.settings.id,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            incarnation=self.incarnation,
        )


def describe_item(item: DirectoryItem) -> str:
    """Return a change as a few words."""
    match item.content:
        case None:
            return f"{item.key}@{item.revision} removed"
        case HostRecord(service=service, address=address, state=state):
            return f"{item.key}@{item.revision} {service} {address} {state.value}"
        case RoutingRecord(version=version, routes=routes):
            return f"{item.key}@{item.revision} version {version}, {len(routes)} routes"
        case UnusableRecord(problem=problem):
            return f"{item.key}@{item.revision} unusable: {problem}"
