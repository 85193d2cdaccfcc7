"""What the directory needs of a platform that lists hosts and routes by key."""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from ._directory import DirectoryItem


class HistoryLostError(LookupError):
    """The platform no longer tells what changed since a revision; read all again."""


class DirectoryUpdate(Struct, kw_only=True, frozen=True):
    """Items of one answer.

    :param as_of: revision up to which they tell every change.
    """

    as_of: int
    items: tuple[DirectoryItem, ...]


class DirectoryReader(Protocol):
    """Reads and watches hosts and routes; nothing is ever written.

    :ivar calls: calls made, a waiting one counted as one.
    """

    calls: int

    async def read_all(self) -> DirectoryUpdate:
        """Read every item.

        :raises PlatformUnavailableError: when the platform gives no usable answer.
        """
        ...

    async def read_hosts(self) -> DirectoryUpdate:
        """Read the hosts alone, which is little beside many routes.

        :raises PlatformUnavailableError: when the platform gives no usable answer.
        """
        ...

    async def watch(self, *, after: int, wait_seconds: float) -> DirectoryUpdate:
        """Wait for changes after a revision; the answer may hold none.

        :raises HistoryLostError: when the platform has forgotten the revision.
        :raises PlatformUnavailableError: when the platform gives no usable answer.
        """
        ...

    async def close(self) -> None:
        """Release connections."""
        ...
