"""Interface to a platform that lists hosts and routes by key."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from ._directory import DirectoryItem


class HistoryLostError(LookupError):
    """The platform no longer has the changes since a revision; read all items again."""


class DirectoryUpdate(Struct, kw_only=True, frozen=True):
    """Items of one answer of the platform.

    :param as_of: revision up to which the items include every change.
    """

    as_of: int
    items: tuple[DirectoryItem, ...]


class DirectoryReader(Protocol):
    """Reads and watches hosts and routes, but never writes them.

    :ivar calls: number of calls; a call that waits counts once.
    """

    calls: int

    async def read_all(self) -> DirectoryUpdate:
        """Read every item.

        :raises PlatformUnavailableError: if the platform gives no usable answer.
        """
        ...

    async def read_hosts(self) -> DirectoryUpdate:
        """Read only the hosts, which are few compared with the routes.

        :raises PlatformUnavailableError: if the platform gives no usable answer.
        """
        ...

    async def watch(self, *, after: int, wait_seconds: float) -> DirectoryUpdate:
        """Wait for changes after a revision; the answer may be empty.

        :raises HistoryLostError: if the platform no longer knows the revision.
        :raises PlatformUnavailableError: if the platform gives no usable answer.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...
