"""Events of the directory follower, which the daemon logs and counts."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ._directory import DirectoryItem


class DirectoryChanged(Struct, kw_only=True, frozen=True):
    """Changes were merged into the directory.

    :param source: the platform or the address of the peer that sent them.
    :param as_of: revision up to which every change is held.
    :param age_seconds: age of the data of the source.
    :param items: items that changed.
    """

    source: str
    as_of: int
    age_seconds: float
    items: tuple[DirectoryItem, ...]


class HostExpired(Struct, kw_only=True, frozen=True):
    """A host that lapsed during a platform outage did not come back in time."""

    id: str


class SourceLost(Struct, kw_only=True, frozen=True):
    """A source gives no usable answer.

    :param retry_seconds: time until the next attempt.
    """

    source: str
    reason: str
    retry_seconds: float


class SourceRegained(Struct, kw_only=True, frozen=True):
    """A source answers again.

    :param failures: number of consecutive failed calls before this one.
    """

    source: str
    failures: int


class PlatformCalled(Struct, kw_only=True, frozen=True):
    """A call to the platform was answered.

    :param seconds: duration of the call, including its wait for changes.
    :param changes: number of changes in the response.
    """

    seconds: float
    changes: int


DirectoryEvent = (
    PlatformCalled | DirectoryChanged | HostExpired | SourceLost | SourceRegained
)
ObserveDirectory = Callable[[DirectoryEvent], None]


def ignore_directory_event(_: DirectoryEvent) -> None:
    """Ignore an event."""
