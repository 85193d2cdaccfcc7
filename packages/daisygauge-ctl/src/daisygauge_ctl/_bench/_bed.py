"""Starts what the datapath experiment needs and measures its parts."""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Self

import aiohttp
import cattrs.preconf.json
import psutil
from attrs import evolve

from daisygauge_emulator.fleet import ManagedProcess
from daisygauge_records import Endpoint, Key

from ._experiment import Options
from ._traffic import (
    Part,
    SinkPlan,
    SinkResult,
    SourcePlan,
    SourceResult,
    TrafficKind,
)

INNER_PORT = 7_000
METRICS_PORT = 7_002
PLATFORM_PORT = 8_500
SERVICE_PORT = 4_433
BARE_PORT = 4_434
CALLER_PORT = 5_000
AGENT_PORT = 7_000
SERVICE_NUMBER = 1
DEFAULT_FLOWS = 1_000
START_SECONDS = 20.0
POLL_SECONDS = 0.05
INNER_TRAILER_BYTES = 8
"""The tag of an inner datagram, which follows the packet."""
MICROSECONDS = 1e6
DAEMON = str(Path(sys.executable).parent / "daisygauged")

_CONVERTER = cattrs.preconf.json.make_converter()


class BedError(RuntimeError):
    """A process of the experiment did not start."""


class Bed:
    """One balancer, one bare forwarder, and a platform to configure from."""

    def __init__(self, *, options: Options, directory: Path) -> None:
        self.options = options
        self.directory = directory
        network = f"127.{options.network}"
        self.platform = Endpoint(host=f"{network}.10.1", port=PLATFORM_PORT)
        self.inner = Endpoint(host=f"{network}.10.2", port=INNER_PORT)
        self.outer = Endpoint(host=f"{network}.10.3", port=SERVICE_PORT)
        self.bare = Endpoint(host=f"{network}.10.3", port=BARE_PORT)
        self.agent = Endpoint(host=f"{network}.10.4", port=AGENT_PORT)
        self.caller = Endpoint(host=f"{network}.10.5", port=CALLER_PORT)
        self.key = Key(id="key-1", number=1, secret=secrets.token_hex(32))
        self.processes: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.end()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.end()

    async def start(self) -> None:
        """Start every process that lasts for the whole experiment."""
        module = [sys.executable, "-m"]
        await self.launch(
            "platform",
            [
                *module,
                "daisygauge_emulator.platform",
                f"--host={self.platform.host}",
                f"--port={self.platform.port}",
            ],
        )
        await self.publish()
        await self.launch(
            "bare",
            [
                *module,
                "daisygauge_ctl._bench.forwarder",
                str(self.bare),
                str(self.agent),
            ],
        )
        settings = self.directory / "balancer.json"
        settings.write_text(json.dumps(self.balancer_settings()))
        await self.launch("balancer", [DAEMON, f"--settings={settings}"])
        await self.wait_url(f"http://{self.inner.host}:{METRICS_PORT}/ready")

    async def end(self) -> None:
        """End every process."""
        for process in self.processes.values():
            await process.kill()

    async def launch(self, name: str, command: list[str]) -> None:
        """Start a process whose output goes to a file."""
        process = ManagedProcess(
            id=name,
            role=name,
            host=self.inner.host,
            command=command,
            log_path=self.directory / f"{name}.log",
        )
        await process.start()
        self.processes[name] = process

    def balancer_settings(self) -> dict[str, object]:
        """Return the settings of the balancer."""
        return {
            "role": "balancer",
            "id": "balancer-1",
            "region": "bench",
            "failure_domain": "bench-1",
            "host": self.inner.host,
            "inner_port": self.inner.port,
            "peer_port": INNER_PORT + 1,
            "metrics_port": METRICS_PORT,
            "outer_host": self.outer.host,
            "platform": [f"http://{self.platform}"],
            "log": {"level": "info"},
        }

    async def publish(self) -> None:
        """Publish the key, the service and its one upstream."""
        base = f"http://{self.platform}/v1/kv/records"
        await self.wait_url(f"http://{self.platform}/v1/health/service/daisygauge")
        specs = {
            "key/key-1": {"number": self.key.number, "secret": self.key.secret},
            "service/bench": {
                "number": SERVICE_NUMBER,
                "address": {"host": self.outer.host, "port": self.outer.port},
            },
            "upstream/bench-1": {
                "service": "bench",
                "agent": {"host": self.agent.host, "port": self.agent.port},
                "peer_port": AGENT_PORT + 1,
                "failure_domain": "bench-1",
            },
        }
        async with aiohttp.ClientSession() as session:
            for name, spec in specs.items():
                kind, id = name.split("/")
                record = {
                    "kind": kind,
                    "id": id,
                    "schema_version": 2,
                    "revision": 1,
                    "deleted": False,
                    "spec": spec,
                }
                async with session.put(f"{base}/{name}", json=record) as answer:
                    answer.raise_for_status()

    async def wait_url(self, url: str) -> None:
        """Wait until a URL answers 200.

        :raises BedError: it took too long.
        """
        deadline = time.monotonic() + START_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)
        logs = "\n".join(
            path.read_text()[-2_000:] for path in self.directory.glob("*.log")
        )
        raise BedError(f"{url} does not answer; the processes say:\n{logs}")

    def plan(self, kind: TrafficKind, *, packet_bytes: int) -> SourcePlan:
        """Return a plan that sends as many packets as possible."""
        receiver = self.inner if kind is TrafficKind.REPLY else self.outer
        return SourcePlan(
            kind=kind,
            receiver=receiver,
            agent=self.agent,
            caller=self.caller,
            key=self.key,
            service=SERVICE_NUMBER,
            flows=DEFAULT_FLOWS,
            rate=0.0,
            seconds=self.options.seconds,
            packet_bytes=packet_bytes,
            seed=self.options.seed,
        )

    async def measure(
        self,
        name: str,
        plan: SourcePlan,
        *,
        keep_delays: bool = False,
        answers: bool = False,
        labels: dict[str, str] | None = None,
    ) -> Part:
        """Send a plan's packets through one forwarder and receive them.

        :param name: ``direct``, ``bare``, or anything else for the balancer.
        """
        forwarder = self.processes["bare" if name == "bare" else "balancer"]
        receivers = {"direct": self.agent, "bare": self.bare}
        trailer = 0 if name in receivers else INNER_TRAILER_BYTES
        is_reply = plan.kind is TrafficKind.REPLY
        sink_plan = SinkPlan(
            address=self.caller if is_reply else self.agent,
            trailer_bytes=0 if is_reply else trailer,
            keep_delays=keep_delays,
            answer_key=self.key if answers else None,
        )
        source_plan = evolve(plan, receiver=receivers.get(name, plan.receiver))
        watched = psutil.Process(forwarder.pid)
        before = watched.cpu_times()
        source, sink = await exchange(source_plan, sink_plan)
        after = watched.cpu_times()
        busy = (after.user + after.system) - (before.user + before.system)
        return Part(
            name=name,
            source=source,
            sink=sink,
            processor_us=MICROSECONDS * busy / max(sink.received, 1),
            resident_bytes=watched.memory_info().rss,
            labels=labels or {},
        )


async def exchange(
    source_plan: SourcePlan, sink_plan: SinkPlan
) -> tuple[SourceResult, SinkResult]:
    """Run one source and one sink to their ends."""
    sink = await open_tool("sink", _CONVERTER.dumps(sink_plan))
    await sink.stdout.readline()
    source = await open_tool("source", _CONVERTER.dumps(source_plan))
    sent, _ = await source.communicate()
    received, _ = await sink.communicate()
    return (
        _CONVERTER.loads(sent, SourceResult),
        _CONVERTER.loads(received, SinkResult),
    )


async def open_tool(name: str, plan: str) -> asyncio.subprocess.Process:
    """Start a process of the benchmark that prints its result."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"daisygauge_ctl._bench.{name}",
        plan,
        stdout=asyncio.subprocess.PIPE,
    )
