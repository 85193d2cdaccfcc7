"""A fleet of control participants with real sockets and an in-memory platform."""

import asyncio
import contextlib

from attrs import evolve
from control.fakes import make_instance
from grpclib.server import Server

from daisygauge_control import ConfigurationSource, Member
from daisygauge_records import Endpoint, Role

HOST = "127.20.0.2"


class Participant:
    """The control part of one daemon: a source, its task and its gRPC server."""

    def __init__(self, *, member, platform):
        self.member = member
        self.events = []
        self.source = ConfigurationSource(
            reader=platform, member=member, observe=self.events.append
        )
        self.server = Server(self.source.services())
        self.source.authenticate(self.server)
        self.task = None
        self.port = 0

    @property
    def view(self):
        return self.source.view

    async def listen(self):
        await self.server.start(HOST, self.port)
        self.port = self.server._server.sockets[0].getsockname()[1]

    def run(self):
        self.task = asyncio.create_task(self.source.run())

    def abort_connections(self):
        """Reset all connections, as the end of a process does."""
        for handler in self.server._handlers:
            for stream in handler._tasks:
                transport = getattr(stream.connection, "_transport", None)
                if transport is not None:
                    transport.abort()

    async def stop(self):
        if self.task is None:
            return
        self.abort_connections()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.task = None
        self.server.close()
        await self.server.wait_closed()

    def instance(self):
        return evolve(
            make_instance(
                self.member.id,
                role=self.member.role,
                failure_domain=self.member.failure_domain,
            ),
            inner=Endpoint(host=HOST, port=7000),
            peer_port=self.port,
        )


class Fleet:
    """Participants by id, all on the instance list of the platform."""

    def __init__(self, platform):
        self.platform = platform
        self.participants = {}

    def __getitem__(self, id):
        return self.participants[id]

    async def add(self, id, *, role=Role.BALANCER, failure_domain="erongo-1"):
        service = "order-desk" if role is Role.AGENT else ""
        member = Member(
            id=id,
            role=role,
            region="erongo",
            failure_domain=failure_domain,
            service=service,
        )
        participant = Participant(member=member, platform=self.platform)
        self.participants[id] = participant
        await participant.listen()
        self.publish_instances()
        return participant

    def publish_instances(self):
        self.platform.set_instances(
            *(participant.instance() for participant in self.participants.values())
        )

    def run(self):
        for participant in self.participants.values():
            if participant.task is None:
                participant.run()

    async def stop(self, *ids):
        await asyncio.gather(*(self.participants.pop(id).stop() for id in ids))

    async def wait_until_ready(self):
        await wait_until(
            lambda: all(p.source.ready for p in self.participants.values())
        )

    def slots(self):
        """Return the slots of upstream u1 as each participant sees them."""
        return {
            id: participant.view.upstreams["order-desk"][0].slots
            for id, participant in self.participants.items()
            if "order-desk" in participant.view.upstreams
        }

    async def wait_for_slots(self, slots):
        expected = dict.fromkeys(self.participants, slots)
        await wait_until(lambda: self.slots() == expected)


async def wait_until(condition):
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_fleet(platform):
    fleet = Fleet(platform)
    try:
        yield fleet
    finally:
        await fleet.stop(*fleet.participants)
