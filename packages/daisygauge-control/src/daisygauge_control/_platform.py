"""Interface to the configuration service of a platform."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from daisygauge_records import Instance

NO_INDEX = 0
"""Index of a read that returns immediately."""


@frozen(kw_only=True)
class PublishedRecord:
    """A record as the platform holds it, not yet validated.

    :param name: location on the platform, for messages.
    """

    name: str
    document: bytes


@frozen(kw_only=True)
class RecordsSnapshot:
    """All records at one index."""

    index: int
    records: tuple[PublishedRecord, ...]


@frozen(kw_only=True)
class InstancesSnapshot:
    """The instance list at one index.

    :param skipped: number of entries that could not be parsed.
    """

    index: int
    instances: tuple[Instance, ...]
    skipped: int = 0


class PlatformReader(Protocol):
    """Reads and watches a platform, but never writes to it.

    With ``after`` above ``NO_INDEX``, a read waits until the index differs from
    ``after`` or the wait time of the reader is over.
    """

    async def read_records(self, *, after: int) -> RecordsSnapshot:
        """Read all records.

        :raises PlatformUnavailableError: if no server answers.
        """
        ...

    async def read_keys(self) -> RecordsSnapshot:
        """Read only the key records, without waiting.

        :raises PlatformUnavailableError: if no server answers.
        """
        ...

    async def read_instances(self, *, after: int) -> InstancesSnapshot:
        """Read the instance list.

        :raises PlatformUnavailableError: if no server answers.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...


def next_index(*, after: int, seen: int) -> int:
    """Return the index that the next read waits on.

    An index that goes backwards means that the platform has lost its state, so the
    next read must not wait.

    :param after: index that the last read waited on.
    :param seen: index that the last read returned.
    """
    return NO_INDEX if seen < after else max(seen, NO_INDEX)
