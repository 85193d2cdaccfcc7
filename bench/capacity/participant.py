"""One daemon's control alone, in a process of its own.

Answers each line on standard input with its counters, and tells on standard
output when a revision of the probe record comes into force.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import psutil
import uvloop
from absl import app, flags
from grpclib.server import Server

from daisygauge_control import ALL_SERVICES, Member, create_configuration_source
from daisygauge_records import Role

PROBE_SERVICE = "probe"

flags.DEFINE_string("id", None, "Instance id.", required=True)
flags.DEFINE_enum("role", "balancer", ["balancer", "agent"], "Role.")
flags.DEFINE_string("failure_domain", None, "Failure domain.", required=True)
flags.DEFINE_string("host", None, "IPv4 address to listen on.", required=True)
flags.DEFINE_integer("peer_port", 7001, "Port of the grpc server.")
flags.DEFINE_string("platform", None, "Base address of the platform.", required=True)


def tell(**content: object) -> None:
    """Write one line for the experiment."""
    print(json.dumps(content), flush=True)


class Participant:
    """A configuration source with its grpc server."""

    def __init__(self) -> None:
        role = Role(flags.FLAGS.role)
        self.source = create_configuration_source(
            platform=[flags.FLAGS.platform],
            member=Member(
                id=flags.FLAGS.id,
                role=role,
                region="region-1",
                failure_domain=flags.FLAGS.failure_domain,
                service=ALL_SERVICES if role is Role.BALANCER else PROBE_SERVICE,
            ),
        )

    async def run(self) -> None:
        """Serve until standard input ends."""
        server = Server(self.source.services())
        self.source.authenticate(server)
        await server.start(flags.FLAGS.host, flags.FLAGS.peer_port)
        async with asyncio.TaskGroup() as tasks:
            source = tasks.create_task(self.source.run())
            follower = tasks.create_task(self.follow_probe())
            await self.answer_questions()
            source.cancel()
            follower.cancel()
        server.close()

    async def follow_probe(self) -> None:
        """Tell when a revision of the probe record is in force."""
        view = self.source.view
        told = 0
        while True:
            service = view.services.get(PROBE_SERVICE)
            if service is not None and service.number != told:
                told = service.number
                tell(probe=told, at=time.time())
            view = await self.source.wait_for_change(after=view.version)

    async def answer_questions(self) -> None:
        """Answer every line with the counters."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: protocol, sys.stdin)
        process = psutil.Process()
        while await reader.readline():
            budget = self.source.budget
            tell(
                ready=self.source.ready,
                seat=self.source.node.is_watcher,
                followers=len(self.source.node.followers),
                sent_bytes=budget.sent_bytes,
                received_bytes=budget.received_bytes,
                processor_seconds=time.process_time(),
                resident_bytes=process.memory_info().rss,
                at=time.time(),
            )


def main(_: list[str]) -> None:
    """Run the participant."""
    uvloop.run(Participant().run())


if __name__ == "__main__":
    app.run(main)
