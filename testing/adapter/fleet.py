"""Balancers and agents as processes on loopback, with fake store, hosts and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from types import SimpleNamespace

from relay.network import FakeClient, FakeHost

from adapter.store import FakeStore

STORE_PORT = 18_169
CLIENT_PORT = 18_172
UPSTREAM_PORT = 18_165
OUTBOUND_PORT = 18_162
READY_PORT = 18_167
INNER_PORTS = [17_720, 17_735]
SERVICE = "order-desk"
SERVICE_ENDPOINT = ("198.18.0.1", 443)
RETRY_SECONDS = 0.2


class DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, addr):
        self.receive(data)


async def open_socket(host, port, receive):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: DatagramReceiver(receive), local_addr=(host, port)
    )
    return transport


def caught_signals(status):
    """Return the mask of signals that a process handles, from its /proc status."""
    return int(status.partition("SigCgt:")[2].split()[0], 16)


class LoopbackFleet:
    """Starts the processes of a fleet and ends all of them in ``stop``.

    :param block: second number of the fleet's loopback addresses, to keep fleets
        apart.
    """

    def __init__(self, directory, *, block=40, hosts=3, balancers=2):
        self.directory = directory
        self.block = block
        self.store = FakeStore()
        self.processes = {}
        self.hosts = {}
        self.sockets = []
        self.rng = random.Random(7)
        self.clock = SimpleNamespace(call_later=self.call_later)
        self.agent_addresses = [self.address(1, n) for n in range(1, hosts + 1)]
        self.balancer_addresses = [self.address(0, n) for n in range(1, balancers + 1)]
        self.host_sockets = {}
        self.clients = 0

    def address(self, kind, number):
        return f"127.{self.block}.{kind}.{number}"

    def call_later(self, seconds, call):
        asyncio.get_running_loop().call_later(seconds, call)

    async def start(self):
        await self.store.start(self.address(9, 1), STORE_PORT)
        self.publish_routes(1)
        for address in self.agent_addresses:
            await self.add_host(address)
        for address in self.agent_addresses:
            await self.start_agent(address)
        for address in self.balancer_addresses:
            await self.start_balancer(address)
        for address in (*self.agent_addresses, *self.balancer_addresses):
            await self.wait_ready(address)

    async def stop(self):
        for address in list(self.processes):
            await self.end(address, signal.SIGKILL)
        for transport in self.sockets:
            transport.close()
        await self.store.stop()

    # Records in the store.

    def publish_routes(self, version, *, port=443):
        host, _ = SERVICE_ENDPOINT
        route = {
            "name": "r-1", "host": host, "prefix": f"/{port}/", "type": "safe",
            "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1,
            "service": SERVICE,
        }  # fmt: skip
        self.store.put(
            "op/config",
            {"version": version, "routes": [route], "limits": {"idleTimeoutMs": 15000}},
        )

    def publish_host(self, address, *, state="ready", zone="a"):
        self.store.put(
            f"servers/host-{address}",
            {
                "service": SERVICE, "address": f"{address}:{UPSTREAM_PORT}",
                "zone": zone, "version": "v1", "capacity": 2, "state": state,
                "coldRemainingMs": 0, "sequence": 1, "born": 1,
            },
        )  # fmt: skip

    async def add_host(self, address):
        host = self.hosts[address] = FakeHost(self, address)
        transport = await open_socket(address, UPSTREAM_PORT, host.receive)
        self.host_sockets[address] = transport
        self.sockets.append(transport)
        self.publish_host(address)

    def from_host(self, address, data):
        self.host_sockets[address].sendto(data, (address, OUTBOUND_PORT))

    # Processes.

    def shared_settings(self, address):
        return {
            "id": address, "region": "r", "failure_domain": "a", "host": address,
            "client_address": f"{address}:{CLIENT_PORT}",
            "ready": f"{address}:{READY_PORT}", "inner_ports": INNER_PORTS,
            "platform": f"{self.address(9, 1)}:{STORE_PORT}",
            "first_peers": [f"{self.balancer_addresses[0]}:1"], "first_start": False,
            "flow_seconds": 60, "grace_seconds": 6,
        }  # fmt: skip

    async def start_agent(self, address):
        settings = self.shared_settings(address) | {
            "service": SERVICE,
            "upstream": f"{address}:{UPSTREAM_PORT}",
            "outbound": f"{address}:{OUTBOUND_PORT}",
            "evacuation_milliseconds": 5000,
        }
        await self.launch("agent", address, settings)

    async def start_balancer(self, address, **changed):
        settings = self.shared_settings(address) | {
            "ingress": f"{address}:{CLIENT_PORT}",
            **changed,
        }
        await self.launch("balancer", address, settings)

    async def launch(self, role, address, settings):
        path = self.directory / f"{address}.json"
        path.write_text("// Written by the test.\n" + json.dumps(settings))
        output = (self.directory / f"{address}.log").open("ab")
        environment = os.environ | {"DAISYGAUGE_BOOT": str(path)}
        self.processes[address] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "daisygauge_platform", role,
            stdout=output, stderr=output, env=environment,
        )  # fmt: skip

    async def wait_for_signals(self, address):
        """Wait until a process handles SIGTERM, which until then would kill it."""
        status = Path(f"/proc/{self.processes[address].pid}/status")
        while not caught_signals(status.read_text()) >> (signal.SIGTERM - 1) & 1:
            await asyncio.sleep(0.005)

    async def end(self, address, number):
        process = self.processes.pop(address)
        if process.returncode is None:
            process.send_signal(number)
        return await process.wait()

    async def get(self, address, port, path):
        reader, writer = await asyncio.open_connection(address, port)
        writer.write(f"GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
        answer = await reader.read()
        writer.close()
        return answer

    async def wait_ready(self, address):
        end = time.monotonic() + 60
        while time.monotonic() < end:
            try:
                answer = await self.get(address, READY_PORT, "/api/readiness")
            except OSError:
                answer = b""
            if answer.startswith(b"HTTP/1.1 200"):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{address} was not ready within 60 s")

    def lines(self, address):
        """Return the log records of a process."""
        text = (self.directory / f"{address}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    # Clients.

    async def open_client(self):
        self.clients += 1
        host = self.address(2, self.clients)
        client = FakeClient(network=self, end=(host, 40_000), service=SERVICE_ENDPOINT)
        client.transport = await open_socket(host, CLIENT_PORT, client.receive)
        self.sockets.append(client.transport)
        return client

    def to_balancer(self, balancer, data):
        self.host_sockets[self.agent_addresses[0]].sendto(data, (balancer, CLIENT_PORT))

    async def connect(self, client, balancer):
        """Open a flow and tell whether it opened.

        The opening packet is sent up to three times, as clients do.
        """
        for copy in (0, 1, 2):
            client.send_opening(balancer, copy)
            if await self.wait_for(lambda: client.is_open, seconds=RETRY_SECONDS):
                return True
        return await self.wait_for(lambda: client.is_open, seconds=1.0)

    async def ask(self, client, balancer, *, sequence, seconds=10.0):
        """Send a request until it is answered and tell whether it was."""
        before = client.answers
        for _ in range(int(seconds / RETRY_SECONDS)):
            client.ask(balancer, sequence=sequence)
            if await self.wait_for(
                lambda: client.answers > before, seconds=RETRY_SECONDS
            ):
                return True
        return False

    async def wait_for(self, is_true, *, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not is_true():
            await asyncio.sleep(0.005)
        return is_true()
