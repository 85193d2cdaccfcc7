"""Starts the processes of the datapath experiment and measures its parts."""

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
START_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
INNER_TRAILER_BYTES = 8
"""Length of the tag that follows the packet in an inner datagram."""
MICROSECONDS_PER_SECOND = 1e6
DAEMON_PATH = str(Path(sys.executable).parent / "daisygauged")

_CONVERTER = cattrs.preconf.json.make_converter()


class TestbedError(RuntimeError):
    """A process of the experiment did not become ready."""


class Testbed:
    """A balancer, a bare forwarder and the platform that holds the configuration.

    :param options: options of the experiment.
    :param directory: directory for settings and log files.
    """

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
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the processes that run for the whole experiment.

        :raises TestbedError: a process is not ready in time.
        """
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
        await self.launch("balancer", [DAEMON_PATH, f"--settings={settings}"])
        await self.wait_until_ready(f"http://{self.inner.host}:{METRICS_PORT}/ready")

    async def stop(self) -> None:
        """Kill every process."""
        for process in self.processes.values():
            await process.kill()

    async def launch(self, name: str, command: list[str]) -> None:
        """Start a process that writes its output to a log file."""
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
        """Publish the key, the service and its only upstream.

        :raises TestbedError: the platform is not ready in time.
        """
        base = f"http://{self.platform}/v1/kv/records"
        await self.wait_until_ready(
            f"http://{self.platform}/v1/health/service/daisygauge"
        )
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

    async def wait_until_ready(self, url: str) -> None:
        """Wait until a URL answers with status 200.

        :raises TestbedError: it does not within ``START_TIMEOUT_SECONDS``.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                try:
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
        logs = "\n".join(
            path.read_text()[-2_000:] for path in self.directory.glob("*.log")
        )
        raise TestbedError(
            f"{url} is not ready; see the end of each process log:\n{logs}"
        )

    def make_plan(self, kind: TrafficKind, *, packet_bytes: int) -> SourcePlan:
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
        """Send packets through one forwarder and measure their rate and cost.

        :param name: ``direct`` for no forwarder, ``bare`` for the bare forwarder, any
            other name for the balancer.
        :param plan: the packets to send.
        :param keep_delays: whether to measure the delay of each packet.
        :param answers: whether the sink accepts first flights.
        :param labels: parameters that tell parts of the same name apart.
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
        process = psutil.Process(forwarder.pid)
        before = process.cpu_times()
        source, sink = await run_source_and_sink(source_plan, sink_plan)
        after = process.cpu_times()
        processor_seconds = (after.user + after.system) - (before.user + before.system)
        return Part(
            name=name,
            source=source,
            sink=sink,
            processor_us=MICROSECONDS_PER_SECOND
            * processor_seconds
            / max(sink.received, 1),
            resident_bytes=process.memory_info().rss,
            labels=labels or {},
        )


async def run_source_and_sink(
    source_plan: SourcePlan, sink_plan: SinkPlan
) -> tuple[SourceResult, SinkResult]:
    """Run a source and a sink until both exit, and return their results."""
    sink = await start_tool("sink", _CONVERTER.dumps(sink_plan))
    await sink.stdout.readline()
    source = await start_tool("source", _CONVERTER.dumps(source_plan))
    sent, _ = await source.communicate()
    received, _ = await sink.communicate()
    return (
        _CONVERTER.loads(sent, SourceResult),
        _CONVERTER.loads(received, SinkResult),
    )


async def start_tool(name: str, plan: str) -> asyncio.subprocess.Process:
    """Start ``source`` or ``sink``, which prints its result as JSON."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        f"daisygauge_ctl._bench.{name}",
        plan,
        stdout=asyncio.subprocess.PIPE,
    )
