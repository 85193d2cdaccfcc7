"""The task that keeps a daemon's configuration up to date."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence

from grpclib.server import Server

from daisygauge_records import Role
from daisygauge_wire.control_pb2 import StatusAnswer, StatusRequest

from ._budget import ControlBudget
from ._consul import ConsulReader
from ._credentials import authenticate_server
from ._events import Observe, RecordRefused, ignore_event
from ._member import ALL_SERVICES, Member
from ._node import Node
from ._platform import PlatformReader
from ._service import ControlService
from ._signal import Signal
from ._state import ConfigurationState
from ._status import answer_status
from ._steering import Steering
from ._view import ConfigurationView
from ._watch import PlatformWatch


class ConfigurationSource:
    """Offers the configuration in force, from the platform and from peers.

    Without a member it watches the platform by itself and follows nobody.

    :param member: who this daemon is.
    :param clock: Unix time in seconds, for calls between daemons.
    """

    def __init__(
        self,
        *,
        reader: PlatformReader,
        member: Member | None = None,
        observe: Observe = ignore_event,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        service = ALL_SERVICES if member is None else member.service
        rng = rng or random.Random()
        self.reader = reader
        self.member = member
        self.observe = observe
        self.changed = Signal()
        self.budget = ControlBudget()
        self.state = ConfigurationState(
            service=service, observe=observe, changed=self.changed
        )
        self.watch = PlatformWatch(
            reader=reader,
            state=self.state,
            budget=self.budget,
            observe=observe,
            rng=rng,
        )
        self.node = Node(
            member=member or _LONE_MEMBER,
            state=self.state,
            budget=self.budget,
            changed=self.changed,
            is_ready=lambda: self.ready,
            clock=clock,
        )
        self.steering = Steering(
            node=self.node, watch=self.watch, observe=observe, rng=rng
        )

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.state.view

    @property
    def revision(self) -> int:
        """Sum of the revisions of the records that this daemon needs.

        Revisions only grow, so it never decreases while the process lives.
        """
        return self.state.journal.summarize(service=self.node.member.service).revision

    @property
    def refused(self) -> dict[str, RecordRefused]:
        """Records that are refused now, with the reasons, by name."""
        return self.state.refused

    @property
    def ready(self) -> bool:
        """Whether the configuration may be acted on."""
        if self.member is None:
            return self.watch.records_read and self.watch.instances_read
        return self.steering.settled

    def services(self) -> list[ControlService]:
        """Return what the daemon's grpc server has to serve."""
        return [ControlService(node=self.node, answer_status=self.answer_status)]

    def authenticate(self, server: Server) -> None:
        """Refuse every call to a server that no key in force has signed."""
        authenticate_server(
            server,
            receiver=self.node.member.id,
            keys=lambda: self.node.keys,
            clock=self.node.clock,
        )

    async def answer_status(self, request: StatusRequest) -> StatusAnswer:
        """Tell how far the fleet has come, or this failure domain alone."""
        return await answer_status(
            request, node=self.node, links=self.steering.links.links
        )

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        try:
            if self.member is None:
                await self.watch.run()
            else:
                await self.steering.run()
        finally:
            await self.reader.close()

    async def wait_for_change(self, *, after: int) -> ConfigurationView:
        """Wait until a view later than a version is in force and return it."""
        while self.view.version <= after:
            await self.changed.wait()
        return self.view


_LONE_MEMBER = Member(id="", role=Role.BALANCER, region="", failure_domain="")


def create_configuration_source(
    *,
    platform: Sequence[str],
    member: Member | None = None,
    observe: Observe = ignore_event,
) -> ConfigurationSource:
    """Build a source that reads a platform through Consul's HTTP interface.

    :param platform: base addresses of the platform's servers.
    :param member: who this daemon is; None to watch the platform alone.
    :param observe: is told what happens, to log and count it.
    """
    return ConfigurationSource(
        reader=ConsulReader(addresses=platform), member=member, observe=observe
    )
