"""Starts one deployment as processes and does to them what tests need."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from types import TracebackType

from attrs import define

from daisygauge_records import Endpoint

from .._ledger import Run, read_ledger
from ..caller import Target
from . import _documents as documents
from ._certificates import create_certificates
from ._deployment import AddressPlan, Deployment, ServicePlan
from ._factory import FleetOptions, ProcessFactory
from ._process import ManagedProcess
from ._stand_ins import StandInClient

DRAIN_TIMEOUT_SECONDS = 20.0


@define(kw_only=True, eq=False)
class Host:
    """An upstream and the agent beside it; replacements keep the address."""

    id: str
    index: int
    plan: ServicePlan
    upstream: ManagedProcess
    agent: ManagedProcess


@define(kw_only=True, eq=False)
class Balancer:
    """A balancer; replacements keep its id and address."""

    id: str
    index: int
    process: ManagedProcess


class Fleet:
    """One deployment as processes on loopback addresses.

    :ivar stand_ins: client of the platform, the fabric and the upstreams.
    :ivar hosts: every host by its id, drained ones included.
    :ivar balancers: every balancer by its id.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        addresses: AddressPlan,
        options: FleetOptions | None = None,
    ) -> None:
        self.deployment = deployment
        self.addresses = addresses
        options = options or FleetOptions()
        self.directory = options.directory or Path(
            tempfile.mkdtemp(prefix="daisygauge-")
        )
        self.directory.mkdir(parents=True, exist_ok=True)
        plans = deployment.services
        self.services = {plan.id: addresses.service(i) for i, plan in enumerate(plans)}
        self.factory = ProcessFactory(
            deployment=deployment,
            addresses=addresses,
            options=options,
            directory=self.directory,
            certificates=create_certificates(
                self.directory,
                server_names=[self.server_name(plan.id) for plan in plans],
                addresses=[address.host for address in self.services.values()],
            ),
        )
        self.processes: list[ManagedProcess] = []
        self.balancers: dict[str, Balancer] = {}
        self.hosts: dict[str, Host] = {}
        self.stand_ins: StandInClient | None = None

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
        """Start everything and wait until it is ready.

        :raises FleetError: a process ended or did not become ready in time.
        """
        self.stand_ins = StandInClient(self.addresses)
        await self.start_stand_ins()
        await self.publish_all()
        indices = range(self.deployment.balancers)
        await asyncio.gather(
            *(self.start_host(plan, index) for plan, index in self.numbered_hosts()),
            *(self.start_balancer(index) for index in indices),
        )
        balancers = [balancer.process for balancer in self.balancers.values()]
        await self.stand_ins.set_balancers(balancers)
        agents = [host.agent for host in self.hosts.values()]
        await asyncio.gather(*(self.wait_ready(p) for p in agents + balancers))
        await self.stand_ins.wait_live(set(self.balancers))

    async def stop(self) -> None:
        """End every process that this fleet has started."""
        await asyncio.gather(
            *(process.kill() for process in self.processes if process.running)
        )
        if self.stand_ins is not None:
            await self.stand_ins.close()

    def server_name(self, service: str) -> str:
        """Return the name in the certificate of a service."""
        return f"{service}.{self.deployment.id}.test"

    def target(self, service: str) -> Target:
        """Return what a caller needs to reach a service."""
        address = self.services[service]
        return Target(
            service=service,
            host=address.host,
            port=address.port,
            server_name=self.server_name(service),
            ca_path=str(self.factory.certificates.ca),
        )

    def numbered_hosts(self) -> list[tuple[ServicePlan, int]]:
        """Return the service and the number of every host."""
        plans = [plan for plan in self.deployment.services for _ in range(plan.hosts)]
        return [(plan, index) for index, plan in enumerate(plans)]

    def hosts_of(self, service: str) -> list[Host]:
        """Return the hosts of a service, ordered by their number."""
        found = [host for host in self.hosts.values() if host.plan.id == service]
        return sorted(found, key=lambda host: host.index)

    async def launch(self, process: ManagedProcess) -> ManagedProcess:
        """Start a process and remember it for the clean-up."""
        self.processes.append(process)
        await process.start()
        return process

    async def wait_ready(self, process: ManagedProcess) -> None:
        """Wait until a daemon is ready."""
        await self.stand_ins.wait_url(process.ready_url, process)

    async def start_stand_ins(self) -> None:
        """Start the platform and the fabric and wait for both."""
        platform = await self.launch(self.factory.platform())
        fabric = await self.launch(self.factory.fabric())
        stand_ins = self.stand_ins
        url = f"{stand_ins.platform}/stand-in/statistics"
        await stand_ins.wait_url(url, platform)
        await stand_ins.wait_url(f"{stand_ins.fabric}/state", fabric)
        await stand_ins.set_services(self.services)

    async def publish_all(self) -> None:
        """Publish the first key and every service and upstream."""
        await self.stand_ins.publish(documents.key_record())
        for plan in self.deployment.services:
            await self.publish_service(plan, address=self.services[plan.id])
        for plan, index in self.numbered_hosts():
            await self.publish_upstream(plan, index)

    async def publish_service(
        self, plan: ServicePlan, *, address: Endpoint, revision: int = 1
    ) -> None:
        """Publish the record of a service with the policies of the options."""
        policies = self.factory.options.policies.get(plan.id, {})
        await self.stand_ins.publish(
            documents.service_record(
                plan, address=address, revision=revision, **policies
            )
        )

    async def publish_upstream(
        self, plan: ServicePlan, index: int, *, revision: int = 1
    ) -> None:
        """Publish the record of a host."""
        await self.stand_ins.publish(
            documents.upstream_record(
                id=f"{plan.id}-{index}",
                plan=plan,
                host=self.addresses.upstream(index),
                failure_domain=self.factory.failure_domain(index),
                revision=revision,
            )
        )

    async def start_host(self, plan: ServicePlan, index: int) -> Host:
        """Start an upstream and its agent and list them."""
        id = f"{plan.id}-{index}"
        upstream = await self.launch(self.factory.upstream(plan, id, index))
        agent = await self.launch(self.factory.agent(plan, id, index))
        host = Host(id=id, index=index, plan=plan, upstream=upstream, agent=agent)
        self.hosts[id] = host
        await self.register_host(host, leaving=False)
        return host

    async def restart_agent(self, host: Host) -> None:
        """Start a new agent in the place of one that has ended."""
        process = self.factory.agent(host.plan, host.id, host.index)
        host.agent = await self.launch(process)
        await self.register_host(host, leaving=False)
        await self.wait_ready(host.agent)

    async def register_host(self, host: Host, *, leaving: bool) -> None:
        """Put a host's agent on the instance list."""
        entry = self.factory.instance(host.agent, index=host.index, leaving=leaving)
        await self.stand_ins.register_instance(entry)

    async def start_balancer(self, index: int) -> Balancer:
        """Start a balancer and list it."""
        id = f"{self.deployment.id}-balancer-{index}"
        process = await self.launch(self.factory.balancer(id, index))
        balancer = Balancer(id=id, index=index, process=process)
        self.balancers[id] = balancer
        await self.register_balancer(balancer, leaving=False)
        return balancer

    async def register_balancer(self, balancer: Balancer, *, leaving: bool) -> None:
        """Put a balancer on the instance list."""
        entry = self.factory.instance(
            balancer.process, index=balancer.index, leaving=leaving
        )
        await self.stand_ins.register_instance(entry)

    async def restart_balancer(self, balancer: Balancer) -> None:
        """Start a new process in the place of a balancer that has ended."""
        process = self.factory.balancer(balancer.id, balancer.index)
        balancer.process = await self.launch(process)
        await self.register_balancer(balancer, leaving=False)
        await self.wait_ready(balancer.process)

    async def replace_balancer(self, balancer: Balancer) -> int:
        """Drain a balancer and start another in its place.

        :return: exit code of the one that was drained.
        :raises FleetError: it did not end in time.
        """
        await self.register_balancer(balancer, leaving=True)
        code = await balancer.process.terminate(timeout_seconds=DRAIN_TIMEOUT_SECONDS)
        await self.restart_balancer(balancer)
        return code

    async def drain_host(
        self, host: Host, *, timeout_seconds: float = DRAIN_TIMEOUT_SECONDS
    ) -> tuple[int, int]:
        """Take a host out of service.

        :return: exit codes of its agent and its upstream.
        :raises FleetError: one of them did not end in time.
        """
        await self.register_host(host, leaving=True)
        agent_code = await host.agent.terminate(timeout_seconds=timeout_seconds)
        upstream_code = await host.upstream.terminate(timeout_seconds=timeout_seconds)
        await self.stand_ins.deregister_instance(host.id)
        return agent_code, upstream_code

    def ledger(self, host: Host) -> list[Run]:
        """Read every run of a host, whether it is still up or not."""
        return read_ledger(self.factory.ledger_path(host.id))
