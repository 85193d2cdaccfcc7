"""Services that the tasks of a process share, and its start and shutdown."""

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
from ._evacuations import Evacuations
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
"""Interval at which a draining process checks whether it may end."""
SETTINGS_POLL_SECONDS = 1.0
"""Interval at which the settings file is checked; it may change without a signal."""


class RelayRole(Protocol):
    """A balancer or an agent."""

    async def start(self, sockets: RoleSockets) -> None:
        """Start reading the sockets."""

    async def drain(self) -> None:
        """Finish the work in progress; return when the process may end."""

    def stop(self) -> None:
        """Close every socket."""

    def gauges(self) -> tuple[Gauge, ...]:
        """Return the role's gauges for the metrics page."""


class RelayRuntime:
    """Clock, log, directory, settings and tasks of one process.

    :param name: role, for logs.
    :param settings_path: file that the settings were read from.
    :param reader: reads the directory from the platform.
    :param incarnation: number that grows with each start of the process.
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
        self.evacuations = Evacuations(
            log=log,
            directory=self.directory,
            clock=self.now,
            arrivals=self.counters.evacuated_openings,
        )
        self.observer = DirectoryObserver(
            log=log,
            counters=self.counters,
            directory=self.directory,
            evacuations=self.evacuations,
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
        # A draining balancer that the fabric still needs reports ready.
        self.is_needed = False
        self.exit_code = EXIT_STOPPED
        self.tasks = Tasks(
            log=log, failures=self.counters.failures, on_failure=self.stop_after_failure
        )

    def load_settings(self) -> RelaySettings:
        """Read the settings file.

        :raises RelaySettingsError: the file can't be used.
        """
        return load_relay_settings(self.settings_path, type(self.settings))

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.loop.time()

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after a delay in seconds."""
        self.loop.call_later(seconds, call)

    async def sleep(self, seconds: float) -> None:
        """Pause the current task."""
        await asyncio.sleep(seconds)

    @property
    def is_ready(self) -> bool:
        """True while this process accepts traffic."""
        accepts_flows = self.is_needed or not self.is_leaving
        return self.directory.view.is_complete and accepts_flows

    def report_error(self, error: Exception) -> None:
        """Log an unexpected error of one datagram; the process continues."""
        self.counters.count_dropped("defect")
        self.log.write(
            events.DATAGRAM_FAILED,
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )

    def known_state(self) -> dict[str, Any]:
        """Return the state that decisions are based on, for the log."""
        age = self.now() - self.directory.confirmed_at
        return {
            "version": self.directory.view.version,
            "as_of": self.directory.as_of,
            "age_seconds": round(min(age, 9_999.0), 3),
        }

    def readiness_page(self) -> Page:
        """Return status 200 while this process accepts traffic, else 503."""
        return Page(status=200 if self.is_ready else 503)

    def stop_after_failure(self) -> None:
        """Stop with an exit code that reports a failure to the platform."""
        self.exit_code = EXIT_FAILED
        self.stopping.set()

    async def wait_for_configuration(self, *, seconds: float) -> None:
        """Wait until there is a configuration to route by, or the process stops.

        :param seconds: longest wait.
        """
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
        reload_requested: Callable[[], bool],
    ) -> int:
        """Run a role until SIGTERM or SIGINT, then drain it.

        :param sockets: the role's sockets, bound already.
        :param pages: pages at the readiness address.
        :param metrics: the page at the metrics address.
        :param reload_requested: returns True when a SIGHUP arrived before this method
            installed its handler.
        :return: the exit code.
        """
        self.tasks.supervise(self.follower.run, name="directory")
        self.tasks.supervise(self.follower.expire, name="directory-expiry")
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        if reload_requested():
            self.reload()
        ready = parse_address(self.settings.ready)
        server = await serve_pages(host=ready.host, port=ready.port, pages=pages)
        self.tasks.spawn(self.serve_peers(metrics), name="peers")
        await role.start(sockets)
        self.log_start()
        self.tasks.supervise(self.log.run, name="log")
        self.tasks.supervise(self.log_readiness, name="readiness")
        self.tasks.supervise(self.watch_settings, name="settings")
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
        """Read the settings file again; an invalid file changes nothing."""
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
        modified = self.settings_modified_ns()
        while True:
            await self.sleep(SETTINGS_POLL_SECONDS)
            latest = self.settings_modified_ns()
            if latest != modified:
                modified = latest
                self.reload()

    def settings_modified_ns(self) -> int:
        """Return the file's modification time in ns, or 0 when it doesn't exist."""
        try:
            return os.stat(self.settings_path).st_mtime_ns
        except OSError:
            return 0

    async def serve_peers(self, metrics: GetPage) -> None:
        """Serve the directory to peers, and the metrics page."""
        host = self.settings.host
        await self.server.start(host=host, port=self.settings.peer_port)
        await serve_pages(
            host=host, port=self.settings.metrics_port, pages={METRICS_PATH: metrics}
        )

    async def log_readiness(self) -> None:
        """Log the first complete configuration."""
        while not self.directory.view.is_complete:
            await self.changed.wait(seconds=1.0)
        self.log.write(
            CONFIGURATION_READY,
            version=self.directory.view.version,
            services=sorted(self.directory.view.hosts),
        )

    def log_start(self) -> None:
        """Log that this process has started."""
        self.log.write(
            STARTED,
            role=self.name,
            id=self.settings.id,
            region=self.settings.region,
            failure_domain=self.settings.failure_domain,
            incarnation=self.incarnation,
        )
