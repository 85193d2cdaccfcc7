"""Events of a configuration source, which the daemon logs and counts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from daisygauge_records import Problem


@dataclass(frozen=True, kw_only=True)
class ConfigurationChanged:
    """A new configuration view is in force."""

    version: int
    services: int
    upstreams: int
    instances: int


@dataclass(frozen=True, kw_only=True)
class RecordRefused:
    """A record was refused; the last valid one stays in force.

    :param name: the record as ``kind/id``, or its location on the platform.
    """

    name: str
    problems: tuple[Problem, ...]


@dataclass(frozen=True, kw_only=True)
class RevisionConflict:
    """Two contents of a record have the same revision; that of greater digest is kept.

    :param kept: digest of the content in force.
    :param dropped: digest of the other content.
    """

    name: str
    revision: int
    kept: str
    dropped: str


@dataclass(frozen=True, kw_only=True)
class PlatformLost:
    """The platform could not be read.

    :param retry_seconds: time until the next attempt.
    """

    address: str
    reason: str
    retry_seconds: float


@dataclass(frozen=True, kw_only=True)
class PlatformRegained:
    """The platform answers again.

    :param failures: number of consecutive failed reads before this one.
    """

    failures: int


@dataclass(frozen=True, kw_only=True)
class PeerLost:
    """A followed daemon does not answer; another daemon is followed instead."""

    peer: str
    reason: str


@dataclass(frozen=True, kw_only=True)
class WatcherChanged:
    """This daemon starts or stops watching the platform for its failure domain.

    The daemon logs it as ``seat-changed``.

    :param is_watcher: True if the daemon watches the platform from now on.
    """

    is_watcher: bool


@dataclass(frozen=True, kw_only=True)
class FellBackToPlatform:
    """No peer could be followed for some time, so the platform is read once.

    :param silent_seconds: time since a peer last answered.
    """

    silent_seconds: float


SourceEvent = (
    ConfigurationChanged
    | RecordRefused
    | RevisionConflict
    | PlatformLost
    | PlatformRegained
    | PeerLost
    | WatcherChanged
    | FellBackToPlatform
)
Observe = Callable[[SourceEvent], None]


def ignore_event(_: SourceEvent) -> None:
    """Ignore an event."""
