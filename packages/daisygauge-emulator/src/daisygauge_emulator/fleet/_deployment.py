"""Services and request classes of the two deployments, and loopback addresses."""

from __future__ import annotations

import os
import socket

from attrs import evolve, frozen

from daisygauge_records import Endpoint, RequestClass

OUTER_PORT = 4433
INNER_PORT = 7000
PEER_PORT = 7001
METRICS_PORT = 7002
UPSTREAM_PORT = 8080
PLATFORM_PORT = 8500
FABRIC_PORT = 8501
LOCK_OCTET = 1
LOCK_PORT = 8499
FIRST_SERVICE_OCTET = 10
FIRST_BALANCER_OCTET = 20
FIRST_HOST_OCTET = 100
_FIRST_FREE_NETWORK = 128
_FREE_NETWORKS = 100
_NETWORKS_PER_BLOCK = 250
_FLEETS_PER_PROCESS = 16


@frozen(kw_only=True)
class ServicePlan:
    """A service of a deployment.

    :param number: number of the service in its record.
    :param hosts: number of upstream hosts, each with an agent.
    :param slots: number of requests that a host runs at the same time.
    """

    id: str
    number: int
    hosts: int
    slots: int
    classes: tuple[RequestClass, ...]


@frozen(kw_only=True)
class Deployment:
    """Region, services and size of a deployment.

    :param balancers: number of balancers behind the fabric.
    """

    id: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3

    def resized(
        self, *, hosts: dict[str, int] | None = None, balancers: int | None = None
    ) -> Deployment:
        """Return the deployment with a different number of hosts or balancers.

        :param hosts: number of hosts by the service's id; others stay unchanged.
        :param balancers: number of balancers, None to keep it.
        """
        hosts = hosts or {}
        services = tuple(
            evolve(plan, hosts=hosts.get(plan.id, plan.hosts)) for plan in self.services
        )
        return evolve(self, services=services, balancers=balancers or self.balancers)


FEED_CLASS = RequestClass(
    name="feed",
    method="GET",
    path_prefix="/feed",
    worth=2.0,
    deadline_seconds=86_400.0,
    streaming=True,
    idempotent=True,
)
DOWNLOAD_CLASS = RequestClass(
    name="download",
    method="GET",
    path_prefix="/download",
    worth=2.0,
    deadline_seconds=600.0,
    streaming=True,
    idempotent=True,
)
ENTRY_CLASS = RequestClass(
    name="entry", method="POST", path_prefix="/run", worth=5.0, deadline_seconds=10.0
)
LOOKUP_CLASS = RequestClass(
    name="lookup",
    method="GET",
    path_prefix="/run",
    worth=1.0,
    deadline_seconds=3.0,
    idempotent=True,
)
CLASSES = (FEED_CLASS, DOWNLOAD_CLASS, ENTRY_CLASS, LOOKUP_CLASS)

KUISEB = Deployment(
    id="kuiseb",
    region="erongo",
    failure_domains=("erongo-1", "erongo-2", "erongo-3", "erongo-4"),
    services=(
        ServicePlan(id="order-desk", number=1, hosts=7, slots=2, classes=CLASSES),
        ServicePlan(id="pattern-library", number=2, hosts=4, slots=2, classes=CLASSES),
    ),
)
BRANNOCK = Deployment(
    id="brannock",
    region="midlands",
    failure_domains=("midlands-1", "midlands-2", "midlands-3"),
    services=(
        ServicePlan(id="orderdesk", number=3, hosts=7, slots=4, classes=CLASSES),
        ServicePlan(id="proofshop", number=4, hosts=3, slots=4, classes=CLASSES),
    ),
)
DEPLOYMENTS = {deployment.id: deployment for deployment in (KUISEB, BRANNOCK)}


_block_locks: list[socket.socket] = []


def _lock_block(block: str) -> bool:
    """Reserve a block until this process ends by binding a port in it.

    :return: False if another process or an earlier call has reserved the block.
    """
    lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        lock.bind((f"{block}.{LOCK_OCTET}", LOCK_PORT))
    except OSError:
        lock.close()
        return False
    _block_locks.append(lock)
    return True


@frozen(kw_only=True)
class AddressPlan:
    """Loopback addresses of one fleet.

    :param block: first three octets of the addresses, such as ``127.20.1``.
    """

    block: str

    @classmethod
    def for_this_process(cls, *, number: int = 0) -> AddressPlan:
        """Reserve a block that no other fleet uses until this process ends.

        :param number: offset at which the search starts, which differs between the
            fleets of one process.
        :raises RuntimeError: every block is reserved.
        """
        blocks = _FREE_NETWORKS * _NETWORKS_PER_BLOCK
        start = os.getpid() * _FLEETS_PER_PROCESS + number
        for step in range(blocks):
            offset = (start + step) % blocks
            network = _FIRST_FREE_NETWORK + offset // _NETWORKS_PER_BLOCK
            block = f"127.{network}.{offset % _NETWORKS_PER_BLOCK}"
            if _lock_block(block):
                return cls(block=block)
        raise RuntimeError("every address block is in use; stop unused fleets")

    def host(self, number: int) -> str:
        """Return an address of the block.

        :param number: last octet.
        """
        return f"{self.block}.{number}"

    @property
    def platform(self) -> Endpoint:
        """Address and port of the platform stand-in."""
        return Endpoint(host=self.host(2), port=PLATFORM_PORT)

    @property
    def fabric(self) -> Endpoint:
        """Address and port of the fabric's control port."""
        return Endpoint(host=self.host(3), port=FABRIC_PORT)

    def service(self, index: int) -> Endpoint:
        """Return the address on which callers reach a service."""
        return Endpoint(
            host=self.host(FIRST_SERVICE_OCTET + index), port=OUTER_PORT + index
        )

    def balancer(self, index: int) -> str:
        """Return the address of a balancer."""
        return self.host(FIRST_BALANCER_OCTET + index)

    def upstream(self, index: int) -> str:
        """Return the address of an upstream host and its agent."""
        return self.host(FIRST_HOST_OCTET + index)
