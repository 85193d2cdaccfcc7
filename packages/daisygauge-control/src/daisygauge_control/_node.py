"""State that the control tasks of one daemon share."""

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

    :param report: latest report of the follower.
    :param behind_since: monotonic time since which it lacks changes, or None.
    """

    member: Member
    report: Report = field(factory=Report)
    behind_since: float | None = None


class Node:
    """State of this daemon that its control tasks share.

    :ivar changed: notified when records, instances or subscriptions change.
    :ivar followers: daemons that follow this one, by id.
    :ivar is_watcher: True while this daemon watches the platform.
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
        """Return the progress of this daemon with the records of a scope."""
        return make_report(self.state, service=service, ready=self.is_ready())

    def update_behind_since(self, follower: Follower, *, now: float) -> None:
        """Update whether a follower lacks records that this daemon holds.

        :param now: monotonic time in seconds.
        """
        own = self.state.change_log.summarize(service=follower.member.service)
        if follower.report.digest == own.digest:
            follower.behind_since = None
        elif follower.behind_since is None:
            follower.behind_since = now
