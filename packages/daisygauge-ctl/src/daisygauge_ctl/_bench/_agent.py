"""What connections, handshakes and bytes cost an agent."""

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
LEAST_HANDSHAKES_A_CORE_SECOND = 11.0
MOST_MEMORY_GROWTH = 1.25
SERVICE = "bench"


@frozen(kw_only=True)
class ConnectionStep:
    """Opening connections until a number of them is open.

    :param handshakes_a_second: as the callers saw it, on a shared machine.
    :param processor_ms: the agent's processor time for one handshake.
    :param resident_bytes: the agent's memory once all are open.
    :param bytes_a_connection: growth of memory since none was open.
    :param idle_core_share: the agent's processor while nothing is asked.
    """

    connections: int
    handshakes_a_second: float
    processor_ms: float
    resident_bytes: int
    bytes_a_connection: float
    idle_core_share: float


@frozen(kw_only=True)
class Throughput:
    """Downloads, one after another, through one agent.

    :param bytes_a_second: as the caller saw it.
    :param bytes_a_core_second: bytes for each second of the agent's processor.
    :param core_share: share of a core that the agent used.
    """

    bytes_a_second: float
    bytes_a_core_second: float
    core_share: float


class AgentMeter:
    """Reads an agent's processor time and memory."""

    def __init__(self, pid: int) -> None:
        self.process = psutil.Process(pid)

    def processor_seconds(self) -> float:
        """Return the processor time used so far."""
        times = self.process.cpu_times()
        return times.user + times.system

    def resident_bytes(self) -> int:
        """Return the memory in use."""
        return self.process.memory_info().rss


def make_deployment() -> Deployment:
    """Return one balancer before one host."""
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
    """Open one connection for each caller, a few at a time."""
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
    wanted: int,
    empty_bytes: int,
) -> ConnectionStep:
    """Open connections until ``wanted`` are open, then leave them idle."""
    added = [
        Caller(service, client=Client.QH3, connect_timeout_seconds=CONNECT_SECONDS)
        for _ in range(wanted - len(callers))
    ]
    began, used = time.monotonic(), meter.processor_seconds()
    await open_connections(added)
    seconds = time.monotonic() - began
    await asyncio.sleep(SETTLE_SECONDS)
    processor = meter.processor_seconds() - used
    callers.extend(added)
    resident = meter.resident_bytes()
    used = meter.processor_seconds()
    await asyncio.sleep(IDLE_SECONDS)
    idle = (meter.processor_seconds() - used) / IDLE_SECONDS
    return ConnectionStep(
        connections=wanted,
        handshakes_a_second=len(added) / seconds,
        processor_ms=1_000 * processor / len(added),
        resident_bytes=resident,
        bytes_a_connection=(resident - empty_bytes) / wanted,
        idle_core_share=idle,
    )


async def measure_throughput(meter: AgentMeter, *, service: Service) -> Throughput:
    """Download through one connection of the faster client library."""
    caller = Caller(service, client=Client.QH3)
    await caller.connect()
    began, used = time.monotonic(), meter.processor_seconds()
    for _ in range(DOWNLOADS):
        path = f"/download?size={DOWNLOAD_BYTES}"
        outcome = await caller.request(Request(path=path, deadline_seconds=120.0))
        if not isinstance(outcome, Answered) or len(outcome.body) != DOWNLOAD_BYTES:
            raise RuntimeError(f"a download failed: {outcome}")
    seconds = time.monotonic() - began
    processor = meter.processor_seconds() - used
    await caller.close()
    total = DOWNLOADS * DOWNLOAD_BYTES
    return Throughput(
        bytes_a_second=total / seconds,
        bytes_a_core_second=total / processor,
        core_share=processor / seconds,
    )


async def run_agent(options: Options) -> Report:
    """Measure one agent with real processes around it."""
    addresses = AddressPlan(block=f"127.{options.network}.20")
    async with Fleet(make_deployment(), addresses=addresses) as fleet:
        (host,) = fleet.hosts_of(SERVICE)
        meter = AgentMeter(host.agent.pid)
        service = fleet.target(SERVICE)
        throughput = await measure_throughput(meter, service=service)
        await asyncio.sleep(SETTLE_SECONDS)
        empty = meter.resident_bytes()
        callers: list[Caller] = []
        steps = [
            await measure_step(
                meter,
                callers=callers,
                service=service,
                wanted=wanted,
                empty_bytes=empty,
            )
            for wanted in CONNECTION_STEPS
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
                target=LEAST_HANDSHAKES_A_CORE_SECOND,
            ),
            Target(
                name="memory a connection, 2,000 over 500",
                measured=steps[2].bytes_a_connection / steps[1].bytes_a_connection,
                comparison="<=",
                target=MOST_MEMORY_GROWTH,
            ),
        ),
        figures={"connections": steps, "throughput": throughput},
    )


AGENT = Experiment(
    name="agent",
    summary="handshakes, memory a connection and bytes a second of one agent",
    run=run_agent,
)
