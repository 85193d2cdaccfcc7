"""Builds the processes of a fleet from its deployment and address plan."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import define, field

from . import _documents as documents
from ._certificates import Certificates
from ._deployment import (
    METRICS_PORT,
    UPSTREAM_PORT,
    AddressPlan,
    Deployment,
    ServicePlan,
)
from ._process import DAEMON, ManagedProcess, stand_in_command


@define(kw_only=True)
class FleetOptions:
    """Options of a fleet that its deployment does not define.

    :param directory: directory for settings, keys and logs; a new temporary one by
        default.
    :param seed: seed of the fabric.
    :param queue_limit: waiting requests of an upstream above which it answers 503.
    :param cold_start_seconds: time after an upstream's start in which runs take
        longer.
    :param policies: additional fields of service records by the service's id.
    """

    directory: Path | None = None
    log_level: str = "info"
    seed: int = 1
    queue_limit: int = 64
    cold_start_seconds: float = 0.0
    policies: dict[str, dict[str, Any]] = field(factory=dict)


@define(kw_only=True)
class ProcessFactory:
    """Creates ``ManagedProcess`` objects without starting the processes."""

    deployment: Deployment
    addresses: AddressPlan
    options: FleetOptions
    directory: Path
    certificates: Certificates

    def failure_domain(self, index: int) -> str:
        """Return the failure domain of an instance, assigned round-robin."""
        domains = self.deployment.failure_domains
        return domains[index % len(domains)]

    def stand_in(
        self, *, id: str, role: str, host: str, **options: object
    ) -> ManagedProcess:
        """Return the process of a stand-in.

        :param options: values of its command-line flags.
        """
        return ManagedProcess(
            id=id,
            role=role,
            host=host,
            command=stand_in_command(role, host=host, **options),
            log_path=self.directory / f"{id}.log",
        )

    def platform(self) -> ManagedProcess:
        """Return the process of the platform."""
        address = self.addresses.platform
        return self.stand_in(
            id="platform", role="platform", host=address.host, port=address.port
        )

    def fabric(self) -> ManagedProcess:
        """Return the process of the fabric."""
        address = self.addresses.fabric
        return self.stand_in(
            id="fabric",
            role="fabric",
            host=address.host,
            port=address.port,
            source_host=address.host,
            seed=self.options.seed,
        )

    def ledger_path(self, host_id: str) -> Path:
        """Return the path of an upstream's ledger file."""
        return self.directory / f"{host_id}.ledger"

    def upstream(self, plan: ServicePlan, id: str, index: int) -> ManagedProcess:
        """Return the process of an upstream."""
        process = self.stand_in(
            id=f"{id}-upstream",
            role="upstream",
            host=self.addresses.upstream(index),
            port=UPSTREAM_PORT,
            service=plan.id,
            slots=plan.slots,
            queue_limit=self.options.queue_limit,
            cold_start_seconds=self.options.cold_start_seconds,
            ledger=self.ledger_path(id),
        )
        process.command.append(f"--id={id}")
        return process

    def daemon(
        self, *, id: str, role: str, host: str, settings: documents.Document
    ) -> ManagedProcess:
        """Write the settings file of a daemon and return its process."""
        path = self.directory / f"{id}.json"
        documents.write_settings(path, settings)
        return ManagedProcess(
            id=id,
            role=role,
            host=host,
            command=[DAEMON, f"--settings={path}"],
            log_path=self.directory / f"{id}.log",
            metrics_port=METRICS_PORT,
        )

    def shared_settings(
        self, *, id: str, role: str, host: str, index: int
    ) -> documents.Document:
        """Return the settings that agents and balancers have in common."""
        return documents.daemon_settings(
            id=id,
            role=role,
            host=host,
            region=self.deployment.region,
            failure_domain=self.failure_domain(index),
            platform=self.addresses.platform,
            log_level=self.options.log_level,
        )

    def agent(self, plan: ServicePlan, id: str, index: int) -> ManagedProcess:
        """Return the process of the agent of an upstream."""
        host = self.addresses.upstream(index)
        shared = self.shared_settings(id=id, role="agent", host=host, index=index)
        settings = documents.agent_settings(
            shared, service=plan.id, certificates=self.certificates
        )
        return self.daemon(id=id, role="agent", host=host, settings=settings)

    def balancer(self, id: str, index: int) -> ManagedProcess:
        """Return the process of a balancer."""
        host = self.addresses.balancer(index)
        shared = self.shared_settings(id=id, role="balancer", host=host, index=index)
        settings = documents.balancer_settings(shared)
        return self.daemon(id=id, role="balancer", host=host, settings=settings)

    def instance(
        self, process: ManagedProcess, *, index: int, leaving: bool
    ) -> documents.Document:
        """Return the entry of a daemon for the platform's instance list."""
        return documents.instance_entry(
            id=process.id,
            role=process.role,
            host=process.host,
            region=self.deployment.region,
            failure_domain=self.failure_domain(index),
            leaving=leaving,
        )
