"""The task that keeps a process's directory current."""

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
from ._directory_exchange import QUICK_ANSWER_SECONDS, PeerReader
from ._directory_reader import DirectoryReader, HistoryLostError
from ._directory_seats import choose_seats, order_seats
from ._errors import PlatformUnavailableError
from ._signal import Signal

WATCH_SECONDS = 1.0
"""Wait of one watch; the end of a wait without an answer shows a silent connection."""
GATHER_SECONDS = 0.2
"""Pause after changes, so that a series of them takes one call, not one each."""
LONGEST_AGE_SECONDS = 1.8
"""A peer whose knowledge is older than a watch and its time limit isn't current."""
FIRST_RETRY_SECONDS = 0.2
LONGEST_RETRY_SECONDS = 1.2
"""Well under the time in which a change must be in force."""
LONGEST_BLIND_RETRY_SECONDS = 0.4
"""A process without a configuration serves nobody; each pause adds to the outage."""
PATIENCE_SECONDS = 0.4
"""How long a process with a narrow link asks peers for a configuration before it
reads the platform's, which takes longer than that to arrive."""
EXPIRY_SECONDS = 0.25
"""How often lapsed hosts are looked at; their grace is 2 s."""
PLATFORM = "platform"


class SourceHealth(Struct, kw_only=True):
    """How one source has answered lately.

    :param retry_at: monotonic time before which it isn't asked again.
    """

    failures: int = 0
    retry_at: float = float("-inf")


class DirectoryFollower:
    """Follows the platform, or a seat that does.

    :param own_address: IPv4 address of this process's instance.
    :param peer_port: where every process answers its peers.
    :param first_peers: instances that may know the directory while this process
        doesn't.
    :param changed: notified after each change.
    :param clock: monotonic time in seconds.
    :param has_narrow_link: True where a whole configuration should come from a peer,
        compressed; the platform then only tells the hosts at first.
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
        self.needs_everything = True

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                await self.step()
        finally:
            await self.reader.close()

    async def expire(self) -> None:
        """Drop lapsed hosts as their grace ends."""
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            gone = self.directory.expire(now=self.clock())
            for id in gone:
                self.observe(HostExpired(id=id))
            if gone:
                self.changed.notify()

    async def step(self) -> None:
        """Ask one source once, and pause as its answer demands."""
        source = self.choose_source(now=self.clock())
        if source is None:
            await asyncio.sleep(self._next_retry(now=self.clock()))
            return
        try:
            news = await self._ask(source)
        except PlatformUnavailableError as error:
            self._report_failure(source, error.reason)
            return
        except HistoryLostError:
            self.needs_everything = True
            return
        except Exception as error:
            # Another source is asked next; who runs this task logs the error.
            self._report_failure(source, f"unexpected {error!r}")
            raise
        self._report_success(source)
        if self.has_narrow_link and self.needs_everything:
            # Only hosts are known: their agents are asked for the configuration now.
            later = self.clock() + PATIENCE_SECONDS
            self.health[source] = SourceHealth(retry_at=later)
        elif news:
            await asyncio.sleep(GATHER_SECONDS)

    def choose_source(self, *, now: float) -> str | None:
        """Return who is asked next: the platform, a peer's address, or nobody yet."""
        return next(
            (name for name in self.list_sources() if self._may_ask(name, now=now)),
            None,
        )

    def list_sources(self) -> tuple[str, ...]:
        """Return every source in the order in which it is preferred."""
        agents = self.directory.view.hosts_by_address
        seats = choose_seats(agents)
        others = order_seats(
            (seat for seat in seats if seat != self.own_address),
            follower=self.own_address,
        )
        if seats and self.has_narrow_link and self.needs_everything:
            return (*others, PLATFORM, *self.first_peers)
        if not seats and not self.needs_everything and not self.is_first_peer:
            # At the first start everyone waits for hosts; a few wait at the platform.
            peers = order_seats(self.first_peers, follower=self.own_address)
            return (*peers, PLATFORM)
        if self.own_address in seats or not seats:
            return (PLATFORM, *others, *self.first_peers)
        return (*others[:1], PLATFORM, *others[1:], *self.first_peers)

    def _may_ask(self, source: str, *, now: float) -> bool:
        health = self.health.get(source)
        return health is None or now >= health.retry_at

    def _next_retry(self, *, now: float) -> float:
        times = [health.retry_at for health in self.health.values()]
        wait = min((at - now for at in times if at > now), default=FIRST_RETRY_SECONDS)
        return min(max(wait, 0.01), LONGEST_RETRY_SECONDS)

    async def _ask(self, source: str) -> tuple[DirectoryItem, ...]:
        if source == PLATFORM:
            return await self._ask_platform()
        return await self._ask_peer(source)

    async def _ask_platform(self) -> tuple[DirectoryItem, ...]:
        began = self.clock()
        news = await self._read_platform()
        self.observe(PlatformCalled(seconds=self.clock() - began, changes=len(news)))
        return news

    async def _read_platform(self) -> tuple[DirectoryItem, ...]:
        if self.has_narrow_link and not self.directory.items:
            return await self._read_hosts()
        if self.needs_everything:
            reading = await self.reader.read_all()
            self.needs_everything = False
            merge = self.directory.replace
        else:
            reading = await self.reader.watch(
                after=self.directory.as_of, wait_seconds=WATCH_SECONDS
            )
            merge = self.directory.apply
        news = merge(reading.items, as_of=reading.as_of, now=self.clock())
        return self._announce(news, source=PLATFORM, age_seconds=0.0)

    async def _read_hosts(self) -> tuple[DirectoryItem, ...]:
        """Learn whom to ask for the rest; no revision is known in full by that."""
        reading = await self.reader.read_hosts()
        now = self.clock()
        news = self.directory.apply(reading.items, as_of=NO_REVISION, now=now)
        return self._announce(news, source=PLATFORM, age_seconds=0.0)

    async def _ask_peer(self, address: str) -> tuple[DirectoryItem, ...]:
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = PeerReader(host=address, port=self.peer_port)
        after = NO_REVISION if self.needs_everything else self.directory.as_of
        if self.needs_everything:
            # A process that knows nothing has no time to wait for a peer's news.
            reply = await peer.fetch(
                after=after, wait_seconds=0.0, answer_seconds=QUICK_ANSWER_SECONDS
            )
        else:
            reply = await peer.fetch(after=after, wait_seconds=WATCH_SECONDS)
        merge = self.directory.replace if reply.is_complete else self.directory.apply
        news: tuple[DirectoryItem, ...] = ()
        if reply.as_of > NO_REVISION:
            news = merge(
                reply.items,
                as_of=reply.as_of,
                now=self.clock(),
                age_seconds=reply.age_seconds,
            )
            self.needs_everything = False
        self._announce(news, source=address, age_seconds=reply.age_seconds)
        if reply.age_seconds > LONGEST_AGE_SECONDS or reply.as_of == NO_REVISION:
            raise PlatformUnavailableError(
                address=address,
                reason=f"its knowledge is {reply.age_seconds:.1f} s old",
            )
        return news

    def _announce(
        self, news: tuple[DirectoryItem, ...], *, source: str, age_seconds: float
    ) -> tuple[DirectoryItem, ...]:
        if news:
            self.changed.notify()
            self.observe(
                DirectoryChanged(
                    source=source,
                    as_of=self.directory.as_of,
                    age_seconds=age_seconds,
                    items=news,
                )
            )
        return news

    def _report_failure(self, source: str, reason: str) -> None:
        health = self.health.setdefault(source, SourceHealth())
        health.failures += 1
        pause = backoff_seconds(
            health.failures,
            rng=self.rng,
            first=FIRST_RETRY_SECONDS,
            longest=(
                LONGEST_RETRY_SECONDS
                if self.directory.view.is_complete
                else LONGEST_BLIND_RETRY_SECONDS
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
