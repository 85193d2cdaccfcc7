"""Process that runs the control part of one daemon, for capacity experiments.

For each line on standard input it writes its counters to standard output, as JSON.
It also writes a line when a revision of the probe record comes into force.
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
flags.DEFINE_integer("peer_port", 7001, "Port of the gRPC server.")
flags.DEFINE_string("platform", None, "Base address of the platform.", required=True)


def write_line(**content: object) -> None:
    """Write one JSON line to standard output."""
    print(json.dumps(content), flush=True)


class Participant:
    """A configuration source with its gRPC server."""

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
            probe_watcher = tasks.create_task(self.watch_probe())
            await self.answer_requests()
            source.cancel()
            probe_watcher.cancel()
        server.close()

    async def watch_probe(self) -> None:
        """Write a line when a revision of the probe record comes into force."""
        view = self.source.view
        reported_number = 0
        while True:
            service = view.services.get(PROBE_SERVICE)
            if service is not None and service.number != reported_number:
                reported_number = service.number
                write_line(probe=reported_number, at=time.time())
            view = await self.source.wait_for_change(after=view.version)

    async def answer_requests(self) -> None:
        """Write the counters for every line on standard input."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: protocol, sys.stdin)
        process = psutil.Process()
        while await reader.readline():
            budget = self.source.budget
            write_line(
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
