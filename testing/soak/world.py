"""Soak fleet: real processes, checking hosts, clients and a store with faults."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter

from adapter.fleet import (
    CLIENT_PORT,
    OUTBOUND_PORT,
    READY_PORT,
    STORE_PORT,
    UPSTREAM_PORT,
    LoopbackFleet,
    open_socket,
)
from relay.network import pack_endpoint

from daisygauge_platform._packets import HEADER

from .client import SoakFlow
from .fabric import Fabric
from .host import SoakHost
from .proxy import Proxy

SERVICES = {"order-desk": ("198.18.0.1", 443), "pattern-library": ("198.18.0.2", 443)}
PROBE_ADDRESS = "198.18.0.3"
"""Address of the routes that ``change_routes`` adds and removes."""
SPLIT_ENDPOINT = ("198.18.0.4", 443)
"""Endpoint of the split route, whose services change."""
SPLITS = (tuple(SERVICES), ("order-desk",), ("pattern-library",))
"""Sets of services among which the split route changes."""
GRACE_SECONDS = 6
LAG_CHECK_SECONDS = 0.1
"""Interval of the event loop's lag check; time bounds are extended by the lag."""


class SoakFleet(LoopbackFleet):
    """A fleet in which each process reaches the store through its own proxy.

    :ivar violations: broken promises, as text.
    :ivar incarnations: number of replaced hosts by address.
    :ivar paused_seconds: total time for which each process was paused.
    :ivar lag_seconds: total lag of the event loop.
    """

    def __init__(self, directory, *, block, seed, hosts=5, balancers=3):
        super().__init__(directory, block=block, hosts=hosts, balancers=balancers)
        self.rng = random.Random(seed)
        self.violations = []
        self.proxies = {}
        self.services = {}
        self.incarnations = Counter()
        self.version = 1
        self.probe_ports = [8_001]
        self.split = SPLITS[0]
        self.paused = {}
        self.paused_seconds = Counter()
        self.all_hosts = []
        self.flows = {}
        self.client_sockets = {}
        self.lag_seconds = 0.0
        self.expected_exits = set()
        self.fabric = Fabric(
            balancers=self.balancer_addresses,
            is_ready=self.is_ready,
            send=self.send_to_balancer,
            seed=seed,
        )

    def report_violation(self, text):
        self.violations.append(f"{time.monotonic() - self.started_at:.2f} s: {text}")

    async def start(self):
        self.started_at = time.monotonic()
        names = list(SERVICES)
        for number, address in enumerate(self.agent_addresses):
            # The first service has most of the hosts, as on the users' sites.
            self.services[address] = names[1 if number % 5 in (1, 4) else 0]
        for number, address in enumerate(
            (*self.agent_addresses, *self.balancer_addresses), 1
        ):
            proxy = Proxy((self.address(9, 1), STORE_PORT))
            await proxy.start(self.address(8, number), STORE_PORT)
            self.proxies[address] = proxy
        for number in range(1, 5):
            address = self.address(2, number)
            self.client_sockets[address] = await open_socket(
                address, CLIENT_PORT, self.receive_client
            )
        await super().start()
        self.tasks = [
            asyncio.create_task(self.fabric.run()),
            asyncio.create_task(self.watch_lag()),
            asyncio.create_task(self.watch_processes()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for address in tuple(self.paused):
            self.resume(address)
        self.expected_exits.update(self.processes)
        await super().stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        for transport in self.client_sockets.values():
            transport.close()

    async def watch_lag(self):
        """Add up the event loop's lag, by which time bounds are extended."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_CHECK_SECONDS)
            self.lag_seconds += max(
                0.0, time.monotonic() - began - 2 * LAG_CHECK_SECONDS
            )

    async def watch_processes(self):
        """Report processes that exit without being stopped."""
        while True:
            await asyncio.sleep(LAG_CHECK_SECONDS)
            for address, process in tuple(self.processes.items()):
                if process.returncode is not None and (
                    address not in self.expected_exits
                ):
                    self.report_violation(
                        f"{address} exited unexpectedly with {process.returncode}"
                    )
                    self.expected_exits.add(address)

    # Published settings and records.

    def shared_settings(self, address):
        number = list(self.proxies).index(address) + 1
        return super().shared_settings(address) | {
            "platform": f"{self.address(8, number)}:{STORE_PORT}",
            # Write log lines at once: a process may be killed in its first seconds.
            "log_delay_seconds": 0.0,
        }

    def publish_routes(self, version, *, port=443):
        endpoints = {name: (host, port) for name, (host, port) in SERVICES.items()}
        routes = [self.make_route(name, *end) for name, end in endpoints.items()]
        routes += [
            self.make_route("order-desk", PROBE_ADDRESS, port)
            for port in self.probe_ports
        ]
        shares = [{"service": service, "weight": 1} for service in self.split]
        split = self.make_route(self.split[0], *SPLIT_ENDPOINT)
        routes.append(split | {"weightedServices": shares})
        self.store.put(
            "op/config",
            {"version": version, "routes": routes, "limits": {"idleTimeoutMs": 15000}},
        )

    def make_route(self, service, host, port):
        return {
            "name": f"r-{host}-{port}", "host": host, "prefix": f"/{port}/",
            "type": "safe", "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 1,
            "service": service,
        }  # fmt: skip

    def publish_host(self, address, *, state="ready"):
        self.store.put(
            f"servers/{self.host_key(address)}",
            {
                "service": self.services[address], "zone": "a", "version": "v1",
                "address": f"{address}:{UPSTREAM_PORT}", "capacity": 2,
                "state": state, "coldRemainingMs": 0, "sequence": 1,
                "born": self.incarnations[address] + 1,
            },
        )  # fmt: skip

    def host_key(self, address):
        return f"host-{address}-{self.incarnations[address]}"

    async def add_host(self, address):
        if address not in self.host_sockets:
            transport = await open_socket(
                address, UPSTREAM_PORT, lambda data: self.hosts[address].receive(data)
            )
            self.host_sockets[address] = transport
            self.sockets.append(transport)
        service = self.services[address]
        self.hosts[address] = SoakHost(
            address=address,
            service=service,
            service_endpoint=SERVICES[service],
            split_endpoint=SPLIT_ENDPOINT,
            rng=self.rng,
            send=lambda data: self.from_host(address, data),
            call_later=self.call_later,
            report_violation=self.report_violation,
        )
        self.all_hosts.append(self.hosts[address])
        if service == "order-desk":
            self.hosts[address].probe_address = PROBE_ADDRESS
        self.publish_host(address)

    def from_host(self, address, data):
        self.host_sockets[address].sendto(data, (address, OUTBOUND_PORT))

    async def start_agent(self, address):
        settings = self.shared_settings(address) | {
            "service": self.services[address],
            "upstream": f"{address}:{UPSTREAM_PORT}",
            "outbound": f"{address}:{OUTBOUND_PORT}",
        }
        await self.launch("agent", address, settings)

    async def start_process(self, address):
        if address in self.agent_addresses:
            await self.start_agent(address)
        else:
            await self.start_balancer(address)
        self.expected_exits.discard(address)

    # Signals.

    async def end(self, address, number):
        self.expected_exits.add(address)
        return await super().end(address, number)

    def pause(self, address):
        process = self.processes.get(address)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGSTOP)
            self.paused[address] = process

    def resume(self, address):
        process = self.paused.pop(address, None)
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGCONT)

    # Clients.

    async def is_ready(self, address):
        try:
            async with asyncio.timeout(0.4):
                answer = await self.get(address, READY_PORT, "/api/readiness")
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def send_to_balancer(self, balancer, data):
        transport = next(iter(self.client_sockets.values()))
        transport.sendto(data, (balancer, CLIENT_PORT))

    def receive_client(self, data):
        dst = HEADER.unpack_from(data)[5]
        flow = self.flows.get(dst)
        if flow is None:
            return
        was_open = flow.host_sequence is not None and not flow.is_reset
        flow.receive(data)
        if was_open and flow.is_reset:
            self.check_reset(dst, flow)

    def check_reset(self, endpoint, flow):
        """Report the reset of a flow that its host still holds."""
        for host in self.hosts.values():
            held = host.flows.get(endpoint)
            if held is not None and held.sequence == flow.host_sequence:
                self.report_violation(
                    f"flow of port {flow.client_endpoint[1]} was reset; "
                    "its host holds it"
                )

    def new_flow(self, service_endpoint):
        self.clients += 1
        address = list(self.client_sockets)[self.clients % 4]
        endpoint = (address, 20_000 + self.clients)
        flow = SoakFlow(
            client_endpoint=endpoint,
            service_endpoint=service_endpoint,
            fabric=self.fabric,
        )
        self.flows[pack_endpoint(*endpoint)] = flow
        return flow

    def remove_flow(self, flow):
        self.flows.pop(pack_endpoint(*flow.client_endpoint), None)
