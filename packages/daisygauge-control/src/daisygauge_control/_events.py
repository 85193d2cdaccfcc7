"""What a configuration source reports, for the daemon to log and count."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from daisygauge_records import Problem


@dataclass(frozen=True, kw_only=True)
class ConfigurationChanged:
    """A new view is in force."""

    version: int
    services: int
    upstreams: int
    instances: int


@dataclass(frozen=True, kw_only=True)
class RecordRefused:
    """A record was refused; the last good one stays in force.

    :param name: the record as ``kind/id``, or where the platform holds it.
    """

    name: str
    problems: tuple[Problem, ...]


@dataclass(frozen=True, kw_only=True)
class RevisionConflict:
    """Two contents were published with one revision; the digest has settled it.

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

    :param retry_seconds: time until the next try.
    """

    address: str
    reason: str
    retry_seconds: float


@dataclass(frozen=True, kw_only=True)
class PlatformRegained:
    """The platform answers again.

    :param failures: failed reads in a row before this one.
    """

    failures: int


@dataclass(frozen=True, kw_only=True)
class PeerLost:
    """A daemon that was followed does not answer; another one takes its place."""

    peer: str
    reason: str


@dataclass(frozen=True, kw_only=True)
class WatcherChanged:
    """This daemon begins or ends to watch the platform for its failure domain."""

    is_watcher: bool


@dataclass(frozen=True, kw_only=True)
class FellBackToPlatform:
    """No peer gave anything for a while, so the platform is read once.

    :param silent_seconds: time since a peer was last followed.
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
    """Drop an event."""
