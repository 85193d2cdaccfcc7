"""Reads and watches of the platform that update the configuration state."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ._backoff import backoff_seconds
from ._budget import ControlBudget
from ._errors import PlatformUnavailableError
from ._events import Observe, PlatformLost, PlatformRegained
from ._platform import (
    NO_INDEX,
    InstancesSnapshot,
    PlatformReader,
    RecordsSnapshot,
    next_index,
)
from ._state import ConfigurationState

READ_AGAIN_SECONDS = 0.5
"""Pause before a read that does not wait, which prevents a busy loop."""

Snapshot = TypeVar("Snapshot", RecordsSnapshot, InstancesSnapshot)


class PlatformWatch:
    """Applies records and instances of the platform to a configuration state.

    :ivar records_read: whether all records have been read at least once.
    :ivar instances_read: whether the instance list has been read at least once.
    :ivar failures: number of consecutive failed reads.
    """

    def __init__(
        self,
        *,
        reader: PlatformReader,
        state: ConfigurationState,
        budget: ControlBudget,
        observe: Observe,
        rng: random.Random,
    ) -> None:
        self.reader = reader
        self.state = state
        self.budget = budget
        self.observe = observe
        self.rng = rng
        self.records_read = False
        self.instances_read = False
        self.failures = 0

    async def run(self) -> None:
        """Watch records and instances until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                self._watch(self.reader.read_records, self.handle_records)
            )
            tasks.create_task(
                self._watch(self.reader.read_instances, self.handle_instances)
            )

    async def read_keys(self) -> None:
        """Read the keys once; calls to peers need them.

        :raises PlatformUnavailableError: if no server answers.
        """
        await self.budget.wait_to_read()
        snapshot = await self.reader.read_keys()
        self.state.apply_records(snapshot.records)

    async def read_records(self) -> None:
        """Read all records once.

        :raises PlatformUnavailableError: if no server answers.
        """
        await self.budget.wait_to_read()
        self.handle_records(await self.reader.read_records(after=NO_INDEX))

    async def read_instances(self) -> None:
        """Read the instance list once.

        :raises PlatformUnavailableError: if no server answers.
        """
        await self.budget.wait_to_read()
        self.handle_instances(await self.reader.read_instances(after=NO_INDEX))

    async def read_until_success(self, *reads: Callable[[], Awaitable[None]]) -> None:
        """Run reads one after another, and retry each until it succeeds."""
        for read in reads:
            while not await self._attempt(read):
                pass

    async def _attempt(self, read: Callable[[], Awaitable[None]]) -> bool:
        try:
            await read()
        except PlatformUnavailableError as error:
            await self._wait_after_failure(error)
            return False
        self._record_success()
        return True

    async def _watch(
        self,
        read: Callable[..., Awaitable[Snapshot]],
        handle: Callable[[Snapshot], None],
    ) -> None:
        after = NO_INDEX
        while True:
            await self.budget.wait_to_read()
            try:
                snapshot = await read(after=after)
            except PlatformUnavailableError as error:
                # Indexes of another server or of a restarted one are not comparable.
                after = NO_INDEX
                await self._wait_after_failure(error)
                continue
            self._record_success()
            after = next_index(after=after, seen=snapshot.index)
            handle(snapshot)
            if after == NO_INDEX:
                await asyncio.sleep(READ_AGAIN_SECONDS)

    def handle_records(self, snapshot: RecordsSnapshot) -> None:
        """Apply a snapshot of the records."""
        self.state.apply_records(snapshot.records)
        if not self.records_read:
            self.records_read = True
            self.state.changed.notify()

    def handle_instances(self, snapshot: InstancesSnapshot) -> None:
        """Apply a snapshot of the instance list."""
        self.state.apply_instances(snapshot.instances)
        if not self.instances_read:
            self.instances_read = True
            self.state.changed.notify()

    def _record_success(self) -> None:
        if self.failures:
            self.observe(PlatformRegained(failures=self.failures))
        self.failures = 0

    async def _wait_after_failure(self, error: PlatformUnavailableError) -> None:
        self.failures += 1
        seconds = backoff_seconds(self.failures, rng=self.rng)
        self.observe(
            PlatformLost(
                address=error.address, reason=error.reason, retry_seconds=seconds
            )
        )
        await asyncio.sleep(seconds)
