"""What the follower of the directory reports, for the daemon to log and count."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from ._directory import DirectoryItem


class DirectoryChanged(Struct, kw_only=True, frozen=True):
    """Changes were merged.

    :param source: who told them.
    :param as_of: revision up to which every change is held.
    :param age_seconds: how old the source's own knowledge was.
    """

    source: str
    as_of: int
    age_seconds: float
    items: tuple[DirectoryItem, ...]


class HostExpired(Struct, kw_only=True, frozen=True):
    """A host that lapsed while the platform was away has not come back."""

    id: str


class SourceLost(Struct, kw_only=True, frozen=True):
    """A source gives no usable answer.

    :param retry_seconds: time until it is asked again.
    """

    source: str
    reason: str
    retry_seconds: float


class SourceRegained(Struct, kw_only=True, frozen=True):
    """A source answers again.

    :param failures: failed calls in a row before this one.
    """

    source: str
    failures: int


class PlatformCalled(Struct, kw_only=True, frozen=True):
    """A call to the platform was answered.

    :param seconds: time that it took, its wait included.
    :param changes: number of changes in the response.
    """

    seconds: float
    changes: int


DirectoryEvent = (
    PlatformCalled | DirectoryChanged | HostExpired | SourceLost | SourceRegained
)
ObserveDirectory = Callable[[DirectoryEvent], None]


def ignore_directory_event(_: DirectoryEvent) -> None:
    """Drop an event."""
