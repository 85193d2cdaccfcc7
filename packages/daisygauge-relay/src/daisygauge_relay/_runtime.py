"""What the tasks of one process share, and the order of its start and end."""

from __future__ import annotations

import asyncio
import os
import signal
import traceback
from collections.abc import Callable
from typing import Any, Protocol

from daisygauge_control import (
    Directory,
    DirectoryFollower,
    DirectoryReader,
    DirectoryServer,
    Signal,
)
from daisygauge_daemon import (
    CONFIGURATION_READY,
    DRAINING,
    STARTED,
    STOPPED,
)

from . import _events as events
from ._counters import Gauge, RelayCounters
from ._exit_codes import EXIT_FAILED, EXIT_STOPPED
from ._log import QueuedLog
from ._observer import DirectoryObserver
from ._pages import GetPage, Page, serve_pages
from ._settings import (
    RelaySettings,
    RelaySettingsError,
    load_relay_settings,
    parse_address,
)
from ._sockets import RoleSockets
from ._tasks import Tasks

METRICS_PATH = "/metrics"
DRAIN_POLL_SECONDS = 0.1
"""How often a stopping process looks whether it may end."""
SETTINGS_SECONDS = 1.0
"""How often the settings file is looked at; it may change without a signal."""


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
        self.observer = DirectoryObserver(
            log=log, counters=self.counters, directory=self.directory
        )
        self.changed = Signal()
        self.follower = DirectoryFollower(
            directory=self.directory,
            reader=reader,
            own_address=settings.host,
            peer_port=settings.peer_port,
            first_peers=[parse_address(peer).host for peer in settings.first_peers],
            changed=self.changed,
            clock=self.now,
            observe=self.observer.observe,
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
        self.tasks = Tasks(
            log=log, failures=self.counters.failures, failed=self.stop_failed
        )

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
        age = self.now() - self.directory.confirmed_at
        return {
            "version": self.directory.view.version,
            "as_of": self.directory.as_of,
            "age_seconds": round(min(age, 9_999.0), 3),
        }

    def readiness_page(self) -> Page:
        """Answer whether this process wants traffic."""
        return Page(status=200 if self.is_ready else 503)

    def stop_failed(self) -> None:
        """Stop, and tell the platform by the exit code that something failed."""
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
        self.tasks.keep(self.follower.run, name="directory")
        self.tasks.keep(self.follower.expire, name="directory-expiry")
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        if must_reload():
            self.reload()
        ready = parse_address(self.settings.ready)
        server = await serve_pages(host=ready.host, port=ready.port, pages=pages)
        self.tasks.spawn(self.serve_peers(metrics), name="peers")
        await role.start(sockets)
        self.log_start()
        self.tasks.keep(self.log.run, name="log")
        self.tasks.keep(self.log_readiness, name="readiness")
        self.tasks.keep(self.watch_settings, name="settings")
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
        self.tasks.cancel()
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
