"""Sizes and request classes of the two deployments, and loopback addresses."""

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
CLAIM_HOST = 1
CLAIM_PORT = 8499
FIRST_SERVICE = 10
FIRST_BALANCER = 20
FIRST_HOST = 100
_FIRST_FREE_NETWORK = 128
_FREE_NETWORKS = 100
_NETWORKS_PER_BLOCK = 250
_FLEETS_PER_PROCESS = 16


@frozen(kw_only=True)
class ServicePlan:
    """One service of a deployment.

    :param hosts: upstream hosts, each with an agent.
    :param slots: requests that a host runs at once.
    """

    id: str
    number: int
    hosts: int
    slots: int
    classes: tuple[RequestClass, ...]


@frozen(kw_only=True)
class Deployment:
    """One user's deployment.

    :param balancers: entry instances behind the fabric.
    """

    id: str
    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3

    def resized(
        self, *, hosts: dict[str, int] | None = None, balancers: int | None = None
    ) -> Deployment:
        """Return the deployment with other sizes.

        :param hosts: hosts of each service by its id; others stay.
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


_claims: list[socket.socket] = []


def _claim(block: str) -> bool:
    """Bind a port of a block, which excludes other processes until this one ends."""
    claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        claim.bind((f"{block}.{CLAIM_HOST}", CLAIM_PORT))
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


@frozen(kw_only=True)
class AddressPlan:
    """Loopback addresses of one fleet.

    :param block: first three numbers of its addresses, such as ``127.20.1``.
    """

    block: str

    @classmethod
    def for_this_process(cls, *, number: int = 0) -> AddressPlan:
        """Return a block that no other fleet uses while this process lives.

        :param number: where the search starts, for the fleets of one process.
        :raises RuntimeError: every block is taken.
        """
        blocks = _FREE_NETWORKS * _NETWORKS_PER_BLOCK
        start = os.getpid() * _FLEETS_PER_PROCESS + number
        for step in range(blocks):
            place = (start + step) % blocks
            network = _FIRST_FREE_NETWORK + place // _NETWORKS_PER_BLOCK
            block = f"127.{network}.{place % _NETWORKS_PER_BLOCK}"
            if _claim(block):
                return cls(block=block)
        raise RuntimeError("every address block is taken; end fleets not needed")

    def host(self, number: int) -> str:
        """Return an address of the block."""
        return f"{self.block}.{number}"

    @property
    def platform(self) -> Endpoint:
        """Address of the platform stand-in."""
        return Endpoint(host=self.host(2), port=PLATFORM_PORT)

    @property
    def fabric(self) -> Endpoint:
        """Address of the fabric's control port."""
        return Endpoint(host=self.host(3), port=FABRIC_PORT)

    def service(self, index: int) -> Endpoint:
        """Address that callers of a service use."""
        return Endpoint(host=self.host(FIRST_SERVICE + index), port=OUTER_PORT + index)

    def balancer(self, index: int) -> str:
        """Address of a balancer."""
        return self.host(FIRST_BALANCER + index)

    def upstream(self, index: int) -> str:
        """Address of an upstream host and its agent."""
        return self.host(FIRST_HOST + index)
