"""The task that keeps the directory of a process current."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from msgspec import Struct

from ._backoff import backoff_seconds
from ._directory import NO_REVISION, Directory, DirectoryItem
from ._directory_events import (
    DirectoryChanged,
    HostExpired,
    ObserveDirectory,
    PlatformCalled,
    SourceLost,
    SourceRegained,
    ignore_directory_event,
)
from ._directory_exchange import INITIAL_ANSWER_SECONDS, PeerReader
from ._directory_reader import DirectoryReader, HistoryLostError
from ._directory_watchers import choose_agent_watchers, order_watchers
from ._errors import PlatformUnavailableError
from ._signal import Signal

WATCH_SECONDS = 1.0
"""Wait of one watch. It is short, so that a dead connection is soon detected by a
missing answer."""
COALESCE_SECONDS = 0.2
"""Pause after changes, so that a series of changes takes one call instead of many."""
MAX_PEER_AGE_SECONDS = 1.8
"""A peer with older data is not current. The limit exceeds the longest watch:
``WATCH_SECONDS`` and the timeout of 0.5 s."""
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.2
"""Well below the time within which a change must be in force."""
MAX_UNCONFIGURED_RETRY_SECONDS = 0.4
"""A process without a configuration can't serve, so each pause prolongs the outage."""
PEERS_FIRST_SECONDS = 0.4
"""Time for which a process with a narrow link asks peers for the configuration before
it reads that of the platform, whose transfer takes longer than this."""
EXPIRY_SECONDS = 0.25
"""Interval of the checks for lapsed hosts, whose grace period is 2 s."""
PLATFORM = "platform"


class SourceHealth(Struct, kw_only=True):
    """Recent failures of one source.

    :param failures: number of consecutive failed calls.
    :param retry_at: monotonic time before which the source is not asked again.
    """

    failures: int = 0
    retry_at: float = float("-inf")


class DirectoryFollower:
    """Updates the directory from the platform or from a watcher of the platform.

    :param own_address: IPv4 address of the instance of this process.
    :param peer_port: port on which every process serves its peers.
    :param first_peers: IPv4 addresses of instances that may hold the directory while
        this process doesn't.
    :param changed: notified after each change.
    :param clock: monotonic time in seconds.
    :param has_narrow_link: True if the configuration should be transferred from a
        peer, which compresses it. At first, only the hosts are then read from the
        platform.
    :ivar health: failures by source.
    :ivar needs_full_read: True until the whole directory has been read, and again
        once the platform has lost its history.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        reader: DirectoryReader,
        own_address: str,
        peer_port: int,
        first_peers: Iterable[str],
        changed: Signal,
        clock: Callable[[], float],
        observe: ObserveDirectory = ignore_directory_event,
        rng: random.Random | None = None,
        has_narrow_link: bool = False,
    ) -> None:
        self.directory = directory
        self.reader = reader
        self.own_address = own_address
        self.peer_port = peer_port
        first_peers = tuple(first_peers)
        self.is_first_peer = own_address in first_peers
        self.first_peers = tuple(p for p in first_peers if p != own_address)
        self.changed = changed
        self.clock = clock
        self.observe = observe
        self.rng = rng or random.Random()
        self.has_narrow_link = has_narrow_link
        self.health: dict[str, SourceHealth] = {}
        self.peers: dict[str, PeerReader] = {}
        self.needs_full_read = True

    async def run(self) -> None:
        """Follow the sources until cancelled."""
        try:
            while True:
                await self.step()
        finally:
            await self.reader.close()

    async def expire(self) -> None:
        """Drop lapsed hosts when their grace period ends, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            gone = self.directory.expire(now=self.clock())
            for id in gone:
                self.observe(HostExpired(id=id))
            if gone:
                self.changed.notify()

    async def step(self) -> None:
        """Ask one source once, and pause if its answer requires it."""
        source = self.choose_source(now=self.clock())
        if source is None:
            await asyncio.sleep(self._next_retry(now=self.clock()))
            return
        try:
            changes = await self._ask(source)
        except PlatformUnavailableError as error:
            self._report_failure(source, error.reason)
            return
        except HistoryLostError:
            self.needs_full_read = True
            return
        except Exception as error:
            # Another source is asked next. The caller of this task logs the error.
            self._report_failure(source, f"unexpected {error!r}")
            raise
        self._report_success(source)
        if self.has_narrow_link and self.needs_full_read:
            # Only the hosts are known. Ask their agents for the configuration next.
            later = self.clock() + PEERS_FIRST_SECONDS
            self.health[source] = SourceHealth(retry_at=later)
        elif changes:
            await asyncio.sleep(COALESCE_SECONDS)

    def choose_source(self, *, now: float) -> str | None:
        """Return the next source to ask, or None if none may be asked yet.

        A source is either the platform or the address of a peer.
        """
        return next(
            (name for name in self.list_sources() if self._may_ask(name, now=now)),
            None,
        )

    def list_sources(self) -> tuple[str, ...]:
        """Return all sources, most preferred first."""
        agents = self.directory.view.hosts_by_address
        watchers = choose_agent_watchers(agents)
        others = order_watchers(
            (watcher for watcher in watchers if watcher != self.own_address),
            follower=self.own_address,
        )
        if watchers and self.has_narrow_link and self.needs_full_read:
            return (*others, PLATFORM, *self.first_peers)
        if not watchers and not self.needs_full_read and not self.is_first_peer:
            # At the first start of a site all processes wait for hosts; only the first
            # peers watch the platform for them.
            peers = order_watchers(self.first_peers, follower=self.own_address)
            return (*peers, PLATFORM)
        if self.own_address in watchers or not watchers:
            return (PLATFORM, *others, *self.first_peers)
        return (*others[:1], PLATFORM, *others[1:], *self.first_peers)

    def _may_ask(self, source: str, *, now: float) -> bool:
        health = self.health.get(source)
        return health is None or now >= health.retry_at

    def _next_retry(self, *, now: float) -> float:
        times = [health.retry_at for health in self.health.values()]
        wait = min((at - now for at in times if at > now), default=FIRST_RETRY_SECONDS)
        return min(max(wait, 0.01), MAX_RETRY_SECONDS)

    async def _ask(self, source: str) -> tuple[DirectoryItem, ...]:
        if source == PLATFORM:
            return await self._ask_platform()
        return await self._ask_peer(source)

    async def _ask_platform(self) -> tuple[DirectoryItem, ...]:
        began = self.clock()
        changes = await self._read_platform()
        self.observe(PlatformCalled(seconds=self.clock() - began, changes=len(changes)))
        return changes

    async def _read_platform(self) -> tuple[DirectoryItem, ...]:
        if self.has_narrow_link and not self.directory.items:
            return await self._read_hosts()
        if self.needs_full_read:
            reading = await self.reader.read_all()
            self.needs_full_read = False
            merge = self.directory.replace
        else:
            reading = await self.reader.watch(
                after=self.directory.as_of, wait_seconds=WATCH_SECONDS
            )
            merge = self.directory.apply
        changes = merge(reading.items, as_of=reading.as_of, now=self.clock())
        return self._report_changes(changes, source=PLATFORM, age_seconds=0.0)

    async def _read_hosts(self) -> tuple[DirectoryItem, ...]:
        """Read the hosts, whose agents can be asked for the rest.

        The answer completes no revision, so ``as_of`` stays at ``NO_REVISION``.
        """
        reading = await self.reader.read_hosts()
        now = self.clock()
        changes = self.directory.apply(reading.items, as_of=NO_REVISION, now=now)
        return self._report_changes(changes, source=PLATFORM, age_seconds=0.0)

    async def _ask_peer(self, address: str) -> tuple[DirectoryItem, ...]:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = PeerReader(host=address, port=self.peer_port)
        after = NO_REVISION if self.needs_full_read else self.directory.as_of
        if self.needs_full_read:
            # Don't let the peer wait for changes while nothing is known here.
            reply = await peer.fetch(
                after=after, wait_seconds=0.0, answer_seconds=INITIAL_ANSWER_SECONDS
            )
        else:
            reply = await peer.fetch(after=after, wait_seconds=WATCH_SECONDS)
        merge = self.directory.replace if reply.is_complete else self.directory.apply
        changes: tuple[DirectoryItem, ...] = ()
        if reply.as_of > NO_REVISION:
            changes = merge(
                reply.items,
                as_of=reply.as_of,
                now=self.clock(),
                age_seconds=reply.age_seconds,
            )
            self.needs_full_read = False
        self._report_changes(changes, source=address, age_seconds=reply.age_seconds)
        if reply.age_seconds > MAX_PEER_AGE_SECONDS or reply.as_of == NO_REVISION:
            raise PlatformUnavailableError(
                address=address,
                reason=f"its data is {reply.age_seconds:.1f} s old",
            )
        return changes

    def _report_changes(
        self, changes: tuple[DirectoryItem, ...], *, source: str, age_seconds: float
    ) -> tuple[DirectoryItem, ...]:
        if changes:
            self.changed.notify()
            self.observe(
                DirectoryChanged(
                    source=source,
                    as_of=self.directory.as_of,
                    age_seconds=age_seconds,
                    items=changes,
                )
            )
        return changes

    def _report_failure(self, source: str, reason: str) -> None:
        health = self.health.setdefault(source, SourceHealth())
        health.failures += 1
        pause = backoff_seconds(
            health.failures,
            rng=self.rng,
            first=FIRST_RETRY_SECONDS,
            maximum=(
                MAX_RETRY_SECONDS
                if self.directory.view.is_complete
                else MAX_UNCONFIGURED_RETRY_SECONDS
            ),
        )
        now = self.clock()
        health.retry_at = now + pause
        if source == PLATFORM:
            self.directory.record_outage(now=now)
        if health.failures == 1:
            self.observe(SourceLost(source=source, reason=reason, retry_seconds=pause))

    def _report_success(self, source: str) -> None:
        health = self.health.pop(source, None)
        if health is None or not health.failures:
            return
        if source == PLATFORM:
            self.directory.record_outage(now=self.clock())
        self.observe(SourceRegained(source=source, failures=health.failures))
