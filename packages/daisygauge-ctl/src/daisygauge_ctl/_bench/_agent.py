"""Measures the cost of connections, handshakes and downloads for an agent."""

from __future__ import annotations

import asyncio
import time

import psutil
from attrs import frozen

from daisygauge_emulator.caller import (
    Answered,
    Caller,
    Client,
    Request,
    Target as Service,
)
from daisygauge_emulator.fleet import (
    KUISEB,
    AddressPlan,
    Deployment,
    Fleet,
    ServicePlan,
)
from daisygauge_records import RequestClass

from ._experiment import Experiment, Options, Report, Target

CONNECTION_STEPS = (100, 500, 2_000)
CONCURRENT_HANDSHAKES = 8
SETTLE_SECONDS = 1.0
IDLE_SECONDS = 10.0
DOWNLOAD_BYTES = 4 * 1024 * 1024
DOWNLOADS = 4
CONNECT_SECONDS = 20.0
MIN_HANDSHAKES_PER_CORE_SECOND = 11.0
MAX_MEMORY_GROWTH_RATIO = 1.25
SERVICE = "bench"


@frozen(kw_only=True)
class ConnectionStep:
    """Cost of opening connections up to a given number.

    :param connections: number of open connections at the end.
    :param handshakes_a_second: as measured by the callers, who share the machine.
    :param processor_ms: processor time of the agent for each handshake.
    :param resident_bytes: resident memory of the agent once all are open.
    :param bytes_a_connection: growth of that memory for each open connection.
    :param idle_core_share: share of a core that the agent uses without requests.
    """

    connections: int
    handshakes_a_second: float
    processor_ms: float
    resident_bytes: int
    bytes_a_connection: float
    idle_core_share: float


@frozen(kw_only=True)
class Throughput:
    """Throughput of consecutive downloads through one agent.

    :param bytes_a_second: as measured by the caller.
    :param bytes_a_core_second: bytes for each second of the agent's processor time.
    :param core_share: share of a core that the agent used.
    """

    bytes_a_second: float
    bytes_a_core_second: float
    core_share: float


class AgentMeter:
    """Reads the processor time and memory of an agent.

    :param pid: process id of the agent.
    """

    def __init__(self, pid: int) -> None:
        self.process = psutil.Process(pid)

    def processor_seconds(self) -> float:
        """Return the user and system time used so far."""
        times = self.process.cpu_times()
        return times.user + times.system

    def resident_bytes(self) -> int:
        """Return the resident memory."""
        return self.process.memory_info().rss


def make_deployment() -> Deployment:
    """Return a deployment of one balancer and one host."""
    classes = (RequestClass(name="download", path_prefix="/", streaming=True),)
    plan = ServicePlan(id=SERVICE, number=1, hosts=1, slots=2, classes=classes)
    return Deployment(
        id="bench",
        region=KUISEB.region,
        failure_domains=KUISEB.failure_domains,
        services=(plan,),
        balancers=1,
    )


async def open_connections(callers: list[Caller]) -> None:
    """Open one connection for each caller, ``CONCURRENT_HANDSHAKES`` at a time."""
    limit = asyncio.Semaphore(CONCURRENT_HANDSHAKES)

    async def open_one(caller: Caller) -> None:
        async with limit:
            await caller.connect()

    await asyncio.gather(*(open_one(caller) for caller in callers))


async def measure_step(
    meter: AgentMeter,
    *,
    callers: list[Caller],
    service: Service,
    count: int,
    baseline_bytes: int,
) -> ConnectionStep:
    """Open connections until ``count`` are open, then measure them while idle.

    :param callers: callers with an open connection; the new ones are added.
    :param count: number of connections to reach.
    :param baseline_bytes: resident memory without connections.
    """
    added = [
        Caller(service, client=Client.QH3, connect_timeout_seconds=CONNECT_SECONDS)
        for _ in range(count - len(callers))
    ]
    started_at, processor_before = time.monotonic(), meter.processor_seconds()
    await open_connections(added)
    seconds = time.monotonic() - started_at
    await asyncio.sleep(SETTLE_SECONDS)
    processor = meter.processor_seconds() - processor_before
    callers.extend(added)
    resident = meter.resident_bytes()
    processor_before = meter.processor_seconds()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (meter.processor_seconds() - processor_before) / IDLE_SECONDS
    return ConnectionStep(
        connections=count,
        handshakes_a_second=len(added) / seconds,
        processor_ms=1_000 * processor / len(added),
        resident_bytes=resident,
        bytes_a_connection=(resident - baseline_bytes) / count,
        idle_core_share=idle,
    )


async def measure_throughput(meter: AgentMeter, *, service: Service) -> Throughput:
    """Measure downloads through one connection of qh3, the faster client library.

    :raises RuntimeError: a download failed.
    """
    caller = Caller(service, client=Client.QH3)
    await caller.connect()
    started_at, processor_before = time.monotonic(), meter.processor_seconds()
    for _ in range(DOWNLOADS):
        path = f"/download?size={DOWNLOAD_BYTES}"
        outcome = await caller.request(Request(path=path, deadline_seconds=120.0))
        if not isinstance(outcome, Answered) or len(outcome.body) != DOWNLOAD_BYTES:
            raise RuntimeError(
                f"a download failed: {outcome}; check that the host and its upstream "
                "are running"
            )
    seconds = time.monotonic() - started_at
    processor = meter.processor_seconds() - processor_before
    await caller.close()
    total = DOWNLOADS * DOWNLOAD_BYTES
    return Throughput(
        bytes_a_second=total / seconds,
        bytes_a_core_second=total / processor,
        core_share=processor / seconds,
    )


async def run_agent(options: Options) -> Report:
    """Measure one agent in a fleet of real processes."""
    addresses = AddressPlan(block=f"127.{options.network}.20")
    async with Fleet(make_deployment(), addresses=addresses) as fleet:
        (host,) = fleet.hosts_of(SERVICE)
        meter = AgentMeter(host.agent.pid)
        service = fleet.target(SERVICE)
        throughput = await measure_throughput(meter, service=service)
        await asyncio.sleep(SETTLE_SECONDS)
        baseline = meter.resident_bytes()
        callers: list[Caller] = []
        steps = [
            await measure_step(
                meter,
                callers=callers,
                service=service,
                count=count,
                baseline_bytes=baseline,
            )
            for count in CONNECTION_STEPS
        ]
        await asyncio.gather(*(caller.close() for caller in callers))
    return Report(
        experiment="agent",
        options=options,
        targets=(
            Target(
                name="handshakes for each second of processor, slowest step",
                measured=min(1_000 / step.processor_ms for step in steps),
                comparison=">=",
                target=MIN_HANDSHAKES_PER_CORE_SECOND,
            ),
            Target(
                name="memory a connection, 2,000 over 500",
                measured=steps[2].bytes_a_connection / steps[1].bytes_a_connection,
                comparison="<=",
                target=MAX_MEMORY_GROWTH_RATIO,
            ),
        ),
        figures={"connections": steps, "throughput": throughput},
    )


AGENT = Experiment(
    name="agent",
    summary="handshakes, memory a connection and bytes a second of one agent",
    run=run_agent,
)
