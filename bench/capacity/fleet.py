"""Processes of a capacity experiment: start, sampling and termination."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

import aiohttp
from attrs import define, field, frozen

HERE = Path(__file__).parent
PEER_PORT = 7001
PLATFORM_PORT = 8500
START_BATCH = 10
ANSWER_TIMEOUT_SECONDS = 20.0
PROBE_TIMEOUT_SECONDS = 60.0
"""Timeout for a change to be in force everywhere; the target is 15 s."""


class ProbeMissingError(Exception):
    """A change didn't come into force on all participants in time."""


@frozen(kw_only=True)
class Sample:
    """Counters of one participant at one time, in seconds and bytes.

    The fields are the keys that the participant writes. ``seat`` is True for a
    watcher, the process that watches the platform on behalf of others.
    """

    ready: bool
    seat: bool
    followers: int
    sent_bytes: int
    received_bytes: int
    processor_seconds: float
    resident_bytes: int
    at: float


@define(kw_only=True, eq=False)
class ParticipantProcess:
    """One participant and its process.

    :ivar probe_times: Unix time at which each probe number came into force.
    """

    id: str
    role: str
    failure_domain: str
    host: str
    process: asyncio.subprocess.Process | None = None
    probe_times: dict[int, float] = field(factory=dict)
    answers: asyncio.Queue = field(factory=asyncio.Queue)
    reader_task: asyncio.Task | None = None

    async def start(self, platform: str) -> None:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(HERE / "participant.py"),
            f"--id={self.id}",
            f"--role={self.role}",
            f"--failure_domain={self.failure_domain}",
            f"--host={self.host}",
            f"--peer_port={PEER_PORT}",
            f"--platform={platform}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader_task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        async for line in self.process.stdout:
            content = json.loads(line)
            if "probe" in content:
                self.probe_times[content["probe"]] = content["at"]
            else:
                self.answers.put_nowait(Sample(**content))

    async def request_sample(self) -> Sample:
        """Request the current counters and return them."""
        self.process.stdin.write(b"\n")
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await self.answers.get()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.stdin.close()
        self.process.kill()
        await self.process.wait()
        self.reader_task.cancel()


class PlatformStandIn:
    """The platform's stand-in and the records published on it."""

    def __init__(self, *, host: str) -> None:
        self.host = host
        self.address = f"http://{host}:{PLATFORM_PORT}"
        self.process: asyncio.subprocess.Process | None = None
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start the stand-in and wait until it answers."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "daisygauge_emulator.platform",
            f"--host={self.host}",
            f"--port={PLATFORM_PORT}",
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.session = aiohttp.ClientSession()
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            while True:
                try:
                    await self.fetch_read_count()
                    return
                except aiohttp.ClientError:
                    await asyncio.sleep(0.1)

    async def put(self, path: str, content: object) -> None:
        """Publish one value."""
        url = f"{self.address}{path}"
        async with self.session.put(url, data=json.dumps(content)) as answer:
            answer.raise_for_status()

    async def publish(self, kind: str, id: str, spec: dict, revision: int = 1) -> None:
        """Publish one record."""
        record = {"kind": kind, "id": id, "schema_version": 2, "revision": revision}
        await self.put(f"/v1/kv/records/{kind}/{id}", {**record, "spec": spec})

    async def register_instance(self, process: ParticipantProcess) -> None:
        """Add a participant to the instance list."""
        meta = {
            "peer_port": str(PEER_PORT),
            "failure_domain": process.failure_domain,
            "leaving": "false",
        }
        service = {
            "ID": process.id,
            "Address": process.host,
            "Port": 7000,
            "Tags": [process.role],
            "Meta": meta,
        }
        entry = {
            "Node": {"Node": process.id, "Datacenter": "region-1"},
            "Service": service,
            "Checks": [],
        }
        await self.put(f"/stand-in/instances/{process.id}", entry)

    async def fetch_read_count(self) -> int:
        """Return the number of reads that the platform has served."""
        url = f"{self.address}/stand-in/statistics"
        async with self.session.get(url) as answer:
            return (await answer.json())["reads"]

    async def stop(self) -> None:
        """Kill the stand-in and wait for its exit."""
        await self.session.close()
        self.process.kill()
        await self.process.wait()


class Fleet:
    """The participants of one experiment."""

    def __init__(self, *, size: int, domains: int, block: str) -> None:
        self.platform = PlatformStandIn(host=f"{block}.0.1")
        balancers = max(4 * domains, size // 6)
        self.processes = [
            ParticipantProcess(
                id=f"i{index:04}",
                role="balancer" if index < balancers else "agent",
                failure_domain=f"domain-{index % domains}",
                host=f"{block}.{1 + index // 200}.{1 + index % 200}",
            )
            for index in range(size)
        ]

    async def start(self) -> None:
        """Start every process and wait until all are ready."""
        for process in self.processes:
            await self.platform.register_instance(process)
        for start in range(0, len(self.processes), START_BATCH):
            batch = self.processes[start : start + START_BATCH]
            await asyncio.gather(*(p.start(self.platform.address) for p in batch))
            await asyncio.gather(*(process.request_sample() for process in batch))
        while not all(sample.ready for sample in (await self.sample()).values()):
            await asyncio.sleep(0.2)

    async def sample(self) -> dict[str, Sample]:
        """Return the current counters of every participant by id."""
        samples = await asyncio.gather(
            *(process.request_sample() for process in self.processes)
        )
        ids = (process.id for process in self.processes)
        return dict(zip(ids, samples, strict=True))

    async def kill(self, ids: set[str]) -> None:
        """Kill the participants with these ids and remove them from the fleet."""
        killed = [process for process in self.processes if process.id in ids]
        self.processes = [p for p in self.processes if p.id not in ids]
        await asyncio.gather(*(process.kill() for process in killed))

    async def wait_for_probe(self, number: int, *, since: float) -> float:
        """Return the seconds until a probe is in force on every participant.

        :raises ProbeMissingError: if it isn't in force in time; names the participants
            that lack it.
        """
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                while not all(
                    number in process.probe_times for process in self.processes
                ):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            raise ProbeMissingError(await self.describe_missing(number)) from None
        return max(process.probe_times[number] for process in self.processes) - since

    async def describe_missing(self, number: int) -> str:
        """Describe the participants that lack a probe, with their counters."""
        missing = [p for p in self.processes if number not in p.probe_times]
        lines = [
            f"{p.id} ({p.role}, {p.failure_domain}): "
            f"has {max(p.probe_times, default=0)}, "
            f"{await p.request_sample()}"
            for p in missing
        ]
        return "\n".join([f"change {number} is missing on {len(missing)}:", *lines])

    async def stop(self) -> None:
        """Kill the started participants and the stand-in."""
        await self.kill({process.id for process in self.processes if process.process})
        await self.platform.stop()


def now() -> float:
    """Return the Unix time in seconds."""
    return time.time()
