"""What the tasks of one daemon's control share."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field

from daisygauge_wire import KeyRing
from daisygauge_wire.control_pb2 import Report

from ._budget import ControlBudget
from ._member import Member
from ._messages import make_report
from ._signal import Signal
from ._state import ConfigurationState


@define(kw_only=True, eq=False)
class Follower:
    """A daemon that follows this one.

    :param behind_since: monotonic time since which it lacks something, or None.
    """

    member: Member
    report: Report = field(factory=Report)
    behind_since: float | None = None


class Node:
    """The daemon as its peers see it.

    :ivar changed: wakes tasks when records, instances or links change.
    :ivar followers: daemons that follow this one, by id.
    :ivar is_watcher: whether this daemon watches the platform.
    """

    def __init__(
        self,
        *,
        member: Member,
        state: ConfigurationState,
        budget: ControlBudget,
        changed: Signal,
        is_ready: Callable[[], bool],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.member = member
        self.state = state
        self.budget = budget
        self.changed = changed
        self.is_ready = is_ready
        self.clock = clock
        self.followers: dict[str, Follower] = {}
        self.is_watcher = False

    @property
    def keys(self) -> KeyRing:
        """The keys in force."""
        return self.state.view.keys

    def report(self, *, service: str) -> Report:
        """Tell how far this daemon has come with the records of a scope."""
        return make_report(self.state, service=service, ready=self.is_ready())

    def compare(self, follower: Follower, *, now: float) -> None:
        """Note whether a follower has what this daemon has.

        :param now: monotonic time in seconds.
        """
        own = self.state.journal.summarize(service=follower.member.service)
        if follower.report.digest == own.digest:
            follower.behind_since = None
        elif follower.behind_since is None:
            follower.behind_since = now
