"""A small deployment: the project's programs as processes, and the stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
from pathlib import Path
from types import TracebackType
from typing import Any

from .clients import ClientFlow, Clients, Router
from .hosts import Host
from .proxy import StorePath
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 30.0
CLIENT_ADDRESSES = 3
HEARTBEAT_SECONDS = 1.2
STABLE_SECONDS = 4.0
READER_SECONDS = 1.5
SERVING_SECONDS = 3.5


class CannotRunError(Exception):
    """The case can't be run here."""


class Datagrams(asyncio.DatagramProtocol):
    """Hands datagrams to a function."""

    def __init__(self, receive: Any) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram on."""
        self.receive(data, addr)


class Ports:
    """Ports that are equal on all machines of a deployment."""

    def __init__(self, first: int) -> None:
        self.client, self.ready, self.outbound, self.app, self.store = (
            first + offset for offset in range(5)
        )
        self.inner = (first + 8, first + 15)

    @property
    def all(self) -> tuple[int, ...]:
        """Every port that is bound."""
        inner = range(self.inner[0], self.inner[0] + 3)
        return (*range(self.client, self.store + 1), *inner)


def find_place(machines: int) -> tuple[int, Ports]:
    """Return the second octet of free loopback addresses, and free ports there."""
    start = os.getpid()
    for attempt in range(60):
        block = 60 + (start + attempt) % 120
        ports = Ports(11_000 + (start * 7 + attempt) % 300 * 20)
        if all(_is_free(f"127.{block}.1.{n}", ports) for n in range(1, machines + 1)):
            return block, ports
    raise CannotRunError("no free loopback addresses and ports")


def _is_free(address: str, ports: Ports) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        for port in ports.all:
            with socket.socket(socket.AF_INET, kind) as tried:
                try:
                    tried.bind((address, port))
                except OSError:
                    return False
    return True


class Fleet:
    """Machines of a deployment, one for each balancer and each host.

    :param hosts: service of each host, by the host's name.
    :param record: path of the record.
    :param later: hosts whose machines the case starts itself.
    """

    def __init__(
        self,
        *,
        hosts: dict[str, str],
        balancers: int,
        record: Path,
        work_seconds: float = 0.02,
        later: tuple[str, ...] = (),
    ) -> None:
        self.services = hosts
        self.later = later
        self.work_seconds = work_seconds
        self.block, self.ports = find_place(len(hosts) + balancers)
        self.balancers = [self.address(0, n) for n in range(1, balancers + 1)]
        self.machines = {
            name: self.address(1, n) for n, name in enumerate(hosts, start=1)
        }
        self.store_address = self.address(9, 1)
        self.record = record.open("w")
        self.began = time.monotonic()
        self.store = Store()
        self.paths: dict[str, StorePath] = {}
        self.hosts: dict[str, Host] = {}
        self.states: dict[str, str] = {}
        self.disturbed_at: dict[str, float] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.transports: list[asyncio.DatagramTransport] = []
        self.resets: list[tuple[str, int]] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.directory = tempfile.TemporaryDirectory()
        self.is_first_start = True
        self.router: Router
        self.clients: Clients

    def address(self, kind: int, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f"127.{self.block}.{kind}.{number}"

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self.record.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    # Start and end.

    async def __aenter__(self) -> Fleet:
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
        """Start everything; return when every process is ready."""
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("run the build of the deploy file first")
        await self.store.start(self.store_address, self.ports.store)
        sender = await self.open_socket(
            self.address(2, 250), 0, lambda data, addr: None
        )
        self.router = Router(
            balancers=self.balancers,
            ready_port=self.ports.ready,
            send=lambda raw, b: sender.sendto(raw, (b, self.ports.client)),
        )
        addresses = [self.address(2, n) for n in range(1, CLIENT_ADDRESSES + 1)]
        self.clients = Clients(
            addresses=addresses, router=self.router, on_reset=self.record_reset
        )
        for address in addresses:
            await self.open_socket(address, self.ports.client, self.clients.receive)
        for number, address in enumerate((*self.balancers, *self.machines.values())):
            path = StorePath(host=self.store_address, port=self.ports.store)
            self.paths[address] = path
            await path.start(self.address(8, number + 1), self.ports.store)
        for name in self.services:
            if name not in self.later:
                await self.start_host(name)
                self.register(name, state="ready")
                await self.start_agent(name)
        for address in self.balancers:
            await self.start_balancer(address)
        for address in tuple(self.processes):
            await self.wait_ready(address)
        self.is_first_start = False
        for work in (self.router.run, self.keep_registered):
            self.tasks.append(asyncio.create_task(work()))
        self.note("every process is ready")

    async def stop(self) -> None:
        """End every process that was started, and close everything."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for transport in self.transports:
            transport.close()
        for path in self.paths.values():
            path.close()
        if self.store.server is not None:
            self.store.server.close()
        self.directory.cleanup()
        self.record.close()

    async def open_socket(
        self, address: str, port: int, receive: Any
    ) -> asyncio.DatagramTransport:
        """Open a UDP socket."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(receive), local_addr=(address, port)
        )
        self.transports.append(transport)
        return transport

    # Resets.

    def record_reset(self, flow: ClientFlow, sender: str) -> None:
        """Record a reset that a client gets of a flow that is open at its host.

        The hosts here send no resets, so every reset is one of the system's own.
        """
        key = (flow.client, flow.service)
        for name, host in self.hosts.items():
            held = host.flows.get(key)
            if held is None or not held.is_open or not host.is_running:
                continue
            took = self.router.choose(*key)
            machines = (sender, took, self.machines[name])
            in_touch = all(map(self.is_calm, machines))
            text = f"{sender} resets the flow of {flow.client} that is open at {name}"
            self.note(f"{text}; machines in touch: {in_touch}")
            if in_touch:
                self.resets.append(flow.client)

    def is_calm(self, address: str) -> bool:
        """Return True when nothing was done to a machine in the stable window."""
        now = asyncio.get_running_loop().time()
        if self.paths[address].is_cut:
            return False
        return now - self.disturbed_at[address] > STABLE_SECONDS

    # Hosts.

    async def start_host(self, name: str) -> None:
        """Start a host, which isn't registered yet."""
        address = self.machines[name]
        transport = await self.open_socket(
            address,
            self.ports.app,
            lambda data, addr: self.hosts[name].receive(data),
        )
        self.hosts[name] = Host(
            name=name,
            service=self.services[name],
            work_seconds=self.work_seconds,
            send=lambda raw: transport.sendto(raw, (address, self.ports.outbound)),
            note=self.note,
        )

    def register(self, name: str, *, state: str) -> None:
        """Write a host's entry into the store."""
        self.states[name] = state
        self.store.put(f"servers/{name}", self.make_entry(name))
        self.note(f"the store acknowledges that {name} is {state}")

    async def keep_registered(self) -> None:
        """Write every host's entry once in a heartbeat interval, until cancelled.

        The store changes an entry only when more than ``sequence`` changes.
        """
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for name in self.states:
                host = self.hosts[name]
                is_changed = not self.store.holds(
                    f"servers/{name}", self.make_entry(name)
                )
                if host.is_running and is_changed:
                    self.store.put(f"servers/{name}", self.make_entry(name))
                    self.note(f"{name} writes its entry again")

    def make_entry(self, name: str) -> dict[str, Any]:
        """Return what a host says of itself."""
        return {
            "service": self.services[name],
            "address": f"{self.machines[name]}:{self.ports.app}",
            "zone": "zone-a",
            "version": "v1",
            "capacity": 4,
            "state": self.states[name],
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.hosts[name].born,
        }

    # Processes.

    def settings(self, address: str, name: str) -> dict[str, Any]:
        """Return the settings that both roles share, as the templates give them."""
        ports = self.ports
        return {
            "id": name,
            "region": "region-1",
            "failure_domain": "zone-a",
            "host": address,
            "client_address": f"{address}:{ports.client}",
            "ready": f"{address}:{ports.ready}",
            "inner_ports": list(ports.inner),
            "platform": f"{self.paths[address].server_host}:{ports.store}",
            "first_peers": [f"{b}:{ports.inner[0]}" for b in self.balancers[:3]],
            "first_start": self.is_first_start,
            "log_delay_seconds": 3,
            "flow_seconds": 60,
            "grace_seconds": 6,
            "link_megabits": 1000,
        }

    async def start_agent(self, name: str) -> None:
        """Start the agent beside a host."""
        address = self.machines[name]
        settings = self.settings(address, f"side-{name}") | {
            "fixed_weight_routes": [],
            "service": self.services[name],
            "upstream": f"{address}:{self.ports.app}",
            "outbound": f"{address}:{self.ports.outbound}",
        }
        await self.launch("agent", address, settings)

    async def start_balancer(self, address: str) -> None:
        """Start a balancer."""
        settings = self.settings(address, f"frontend-{address}") | {
            "ingress": f"{address}:{self.ports.client}"
        }
        await self.launch("balancer", address, settings)

    async def launch(self, role: str, address: str, settings: dict[str, Any]) -> None:
        """Start one of the programs with the command of the deploy file."""
        path = Path(self.directory.name) / f"{address}.json"
        path.write_text(json.dumps(settings))
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["DAISYGAUGE_BOOT"] = str(path)
        self.disturbed_at[address] = asyncio.get_running_loop().time()
        command = f"python3 -S -P -m daisygauge_platform {role}"
        self.processes[address] = await asyncio.create_subprocess_exec(
            *command.split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def wait_ready(self, address: str) -> None:
        """Wait until a process reports that it is ready."""
        end = time.monotonic() + READY_SECONDS
        while not await self.router.is_ready(address):
            if self.processes[address].returncode is not None:
                raise CannotRunError(f"the process at {address} has ended")
            if time.monotonic() > end:
                raise CannotRunError(f"the process at {address} does not get ready")
            await asyncio.sleep(0.1)

    async def restart(self, address: str) -> None:
        """Stop a balancer as planned work does, and start it again."""
        self.signal(address, signal.SIGTERM)
        code = await self.processes[address].wait()
        self.note(f"the process at {address} has ended with code {code}")
        await self.start_balancer(address)

    def list_readers(self) -> list[str]:
        """Return the machines with a host that read the store lately."""
        since = asyncio.get_running_loop().time() - READER_SECONDS
        machines = [self.machines[name] for name in self.states]
        return [m for m in machines if self.paths[m].used_at > since]

    async def remove_host(self, name: str) -> None:
        """Let a host drain and leave, and stop its machine."""
        self.hosts[name].is_draining = True
        self.register(name, state="draining")
        await asyncio.sleep(SERVING_SECONDS)
        self.hosts[name].end()
        del self.states[name]
        self.store.remove(f"servers/{name}")
        self.note(f"{name} has left")
        self.signal(self.machines[name], signal.SIGTERM)

    def cut(self, address: str, *, is_cut: bool) -> None:
        """Cut a machine off from the store, or end the cut."""
        self.paths[address].is_cut = is_cut
        self.disturbed_at[address] = asyncio.get_running_loop().time()
        self.note(f"{address} is cut off from the store: {is_cut}")

    def signal(self, address: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.disturbed_at[address] = asyncio.get_running_loop().time()
        self.note(f"{number.name} to the process at {address}")
        self.processes[address].send_signal(number)
