"""The task that keeps a daemon's configuration up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from ._backoff import backoff_seconds
from ._consul import ConsulReader
from ._events import Observe, PlatformLost, PlatformRegained, ignore_event
from ._platform import (
    NO_INDEX,
    InstancesSnapshot,
    PlatformReader,
    PlatformUnavailableError,
    RecordsSnapshot,
    next_index,
)
from ._state import ConfigurationState
from ._view import ConfigurationView

READ_AGAIN_SECONDS = 0.5
"""Pause before a read that does not wait, against reading without end."""

Snapshot = TypeVar("Snapshot", RecordsSnapshot, InstancesSnapshot)


class ConfigurationSource:
    """Watches the platform and offers the configuration in force.

    :ivar ready: True once records and instances have both been read.
    """

    def __init__(
        self,
        *,
        reader: PlatformReader,
        observe: Observe = ignore_event,
        rng: random.Random | None = None,
    ) -> None:
        self.reader = reader
        self.observe = observe
        self.state = ConfigurationState(observe=observe)
        self.records_read = False
        self.instances_read = False
        self._rng = rng or random.Random()
        self._changed = asyncio.Event()

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.state.view

    @property
    def ready(self) -> bool:
        """Whether the configuration may be acted on."""
        return self.records_read and self.instances_read

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._watch_records())
                tasks.create_task(self._watch_instances())
        finally:
            await self.reader.close()

    async def wait_for_change(self, *, after: int) -> ConfigurationView:
        """Wait until a view later than a version is in force and return it."""
        while self.view.version <= after:
            await self._changed.wait()
        return self.view

    async def _watch_records(self) -> None:
        await self._watch(self.reader.read_records, self._take_records)

    async def _watch_instances(self) -> None:
        await self._watch(self.reader.read_instances, self._take_instances)

    async def _watch(
        self,
        read: Callable[..., Awaitable[Snapshot]],
        take: Callable[[Snapshot], None],
    ) -> None:
        after = NO_INDEX
        failures = 0
        while True:
            try:
                snapshot = await read(after=after)
            except PlatformUnavailableError as error:
                failures += 1
                # Another server, or a restarted one, has indexes of its own.
                after = NO_INDEX
                await self._wait_after_failure(error, failures)
                continue
            if failures:
                self.observe(PlatformRegained(failures=failures))
            failures = 0
            after = next_index(after=after, seen=snapshot.index)
            take(snapshot)
            if after == NO_INDEX:
                await asyncio.sleep(READ_AGAIN_SECONDS)

    async def _wait_after_failure(
        self, error: PlatformUnavailableError, failures: int
    ) -> None:
        seconds = backoff_seconds(failures, rng=self._rng)
        self.observe(
            PlatformLost(
                address=error.address, reason=error.reason, retry_seconds=seconds
            )
        )
        await asyncio.sleep(seconds)

    def _take_records(self, snapshot: RecordsSnapshot) -> None:
        changed = self.state.apply_records(snapshot.records)
        self.records_read = True
        self._notify(changed)

    def _take_instances(self, snapshot: InstancesSnapshot) -> None:
        changed = self.state.apply_instances(snapshot.instances)
        self.instances_read = True
        self._notify(changed)

    def _notify(self, changed: bool) -> None:
        if not changed:
            return
        self._changed.set()
        self._changed = asyncio.Event()


def create_configuration_source(
    *, platform: Sequence[str], observe: Observe = ignore_event
) -> ConfigurationSource:
    """Build a source that watches a platform through Consul's HTTP interface.

    :param platform: base addresses of the platform's servers.
    :param observe: is told what happens, to log and count it.
    """
    return ConfigurationSource(reader=ConsulReader(addresses=platform), observe=observe)
