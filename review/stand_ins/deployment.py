"""A small deployment of the project's programs between stand-ins."""

from __future__ import annotations

import asyncio
import os
import signal
import time
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stand_ins.client import Client, Habit
from stand_ins.fleet import Fleet, Machine
from stand_ins.fresh import FreshClient
from stand_ins.host import Host
from stand_ins.record import Record
from stand_ins.router import Router
from stand_ins.store import Store

BROKEN, HELD, UNUSABLE = 1, 0, 2
START_SECONDS = 30.0


@dataclass(frozen=True)
class Plan:
    """Sizes of a deployment.

    :param services: number of hosts by service.
    :param route: address and port of the one route, which leads to ``service``.
    :param timeout_seconds: time limit of its requests.
    """

    balancers: int
    services: dict[str, int]
    service: str
    route: tuple[str, int] = ("198.18.0.1", 443)
    timeout_seconds: float = 3.0
    target_seconds: float = 0.5
    slots: int = 2
    work_seconds: float = 0.06


@dataclass
class Deployment:
    """The processes and stand-ins of one run."""

    plan: Plan
    seed: int
    record: Record = field(default_factory=Record)
    store: Store = field(default_factory=Store)
    hosts: dict[str, Host] = field(default_factory=dict)
    clients: list[Client] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.fleet = Fleet(balancers=self.plan.balancers, services=self.plan.services)
        balancers = [machine.address for machine in self.fleet.of_role("balancer")]
        self.router = Router(
            balancers=balancers,
            datagram_port=self.fleet.ports.datagram,
            ready_port=self.fleet.ports.ready,
        )

    async def start(self) -> None:
        """Start everything and wait until every process is ready."""
        await self.store.start(self.fleet.store_address, self.fleet.ports.store)
        self.publish_routes(1)
        for machine in self.fleet.machines.values():
            self.fleet.start(machine)
        for machine in self.fleet.of_role("agent"):
            await self.add_host(machine)
        self.spawn(self.router.run())
        await self.wait_ready(list(self.fleet.machines.values()))

    async def add_machines(self, service: str, count: int) -> list[Machine]:
        """Add machines with hosts of a service to the running deployment."""
        first = 1 + len(self.fleet.of_role("agent"))
        machines = []
        for number in range(first, first + count):
            address = self.fleet.address(2, number)
            machine = self.fleet.add("agent", address, service)
            machine.starts = 1
            machines.append(machine)
            self.fleet.start(machine)
            await self.add_host(machine)
        await self.wait_ready(machines)
        return machines

    async def wait_ready(self, machines: list[Machine]) -> None:
        """Wait until processes are ready, and for their directories to settle."""
        end = time.monotonic() + START_SECONDS
        for machine in machines:
            while not await self.is_ready(machine):
                if time.monotonic() > end:
                    raise TimeoutError(f"{machine.name} isn't ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a process reports ready."""
        try:
            return await self.router.ask(machine.address)
        except OSError:
            return False

    def spawn(self, work: Any) -> None:
        """Run a task until the end."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)

    def make_route(
        self, address: tuple[str, int], services: dict[str, int]
    ) -> dict[str, Any]:
        """Return a route to one service, or to several by weight."""
        host, port = address
        route: dict[str, Any] = {
            "name": f"route-{host}-{port}",
            "host": host,
            "prefix": f"/{port}/",
            "type": "safe",
            "timeoutMs": round(1_000 * self.plan.timeout_seconds),
            "targetLatencyMs": round(1_000 * self.plan.target_seconds),
            "priority": 1,
            "maxAttempts": 3,
        }
        if len(services) == 1:
            return route | {"service": next(iter(services))}
        shares = [{"service": s, "weight": w} for s, w in services.items()]
        return route | {"weightedServices": shares}

    def publish_routes(
        self, version: int, routes: list[dict[str, Any]] | None = None
    ) -> None:
        """Write a configuration; by default with the plan's one route."""
        if routes is None:
            routes = [self.make_route(self.plan.route, {self.plan.service: 1})]
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [{"name": name} for name in self.plan.services],
                "limits": {"idleTimeoutMs": 30_000},
            },
        )

    def publish_host(self, machine: Machine, *, state: str = "ready") -> None:
        """Write the entry of a host."""
        self.store.put(
            f"servers/host-{machine.address}",
            {
                "service": machine.service,
                "address": f"{machine.address}:{self.fleet.ports.app}",
                "zone": "zone-a",
                "version": "v1",
                "capacity": self.plan.slots,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": round(1_000 * time.time()),
            },
        )

    async def add_host(self, machine: Machine) -> None:
        """Start the host of a machine."""
        ports, address = self.fleet.ports, machine.address
        host = Host(
            address=address,
            outbound=(address, ports.outbound),
            record=self.record,
            slots=self.plan.slots,
            work_seconds=self.plan.work_seconds,
            seed=self.seed,
        )
        self.hosts[address] = host
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: host, local_addr=(address, ports.app)
        )
        self.publish_host(machine)

    async def add_clients(self, count: int, habit: Habit) -> None:
        """Start clients, each with its own address."""
        for number in range(1, count + 1):
            client = Client(
                address=self.fleet.address(20, number),
                service=self.plan.route,
                router=self.router,
                record=self.record,
                habit=habit,
                seed=self.seed,
            )
            self.clients.append(client)
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(
                lambda client=client: client,
                local_addr=(client.address, self.fleet.ports.datagram),
            )
            self.spawn(client.run())

    async def add_fresh_client(self) -> FreshClient:
        """Return a client that opens a flow for each request."""
        client = FreshClient(
            address=self.fleet.address(21, 1),
            datagram_port=self.fleet.ports.datagram,
            record=self.record,
            seed=self.seed,
        )
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: client, local_addr=(client.address, self.fleet.ports.datagram)
        )
        return client

    async def freeze(self, machine: Machine, *, seconds: float) -> None:
        """Let a process stand still for a while."""
        self.record.note(f"{machine.name} freezes")
        machine.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        machine.process.send_signal(signal.SIGCONT)
        self.record.note(f"{machine.name} wakes")

    async def restart_in_turn(self, role: str, *, gap_seconds: float) -> None:
        """Stop and start the processes of a role in turn."""
        restarts = []
        for machine in self.fleet.of_role(role):
            self.record.note(f"SIGTERM to {machine.name}")
            restarts.append(asyncio.create_task(self.fleet.restart(machine)))
            await asyncio.sleep(gap_seconds)
        await asyncio.gather(*restarts)

    def stop(self) -> None:
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        self.fleet.stop()

    def served(self) -> int:
        """Return the number of requests answered in time."""
        return sum(client.served for client in self.clients)


def has_trouble() -> bool:
    """Return False when the disruption is switched off."""
    return os.environ.get("TROUBLE", "1") != "0"


def conclude(
    deployment: Deployment, folder: Path, breaks: list[str], *, served: int
) -> int:
    """Write the record and return the exit code."""
    counts = f"served {served}"
    verdict = "\n".join([counts, *breaks, "BROKEN" if breaks else "HELD"])
    deployment.record.write(folder / "record.txt", verdict)
    print(verdict)
    return BROKEN if breaks else HELD


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return ``UNUSABLE`` when it couldn't run to its end."""
    try:
        return asyncio.run(main())
    except Exception:
        traceback.print_exc()
        return UNUSABLE
