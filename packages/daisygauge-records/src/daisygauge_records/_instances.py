"""Entries of the platform's instance list, which lags behind the actual state."""

from __future__ import annotations

import enum

from attrs import frozen

from ._models import Endpoint


class Role(enum.Enum):
    """Role of an instance in the system."""

    BALANCER = "balancer"
    AGENT = "agent"


@frozen(kw_only=True)
class Instance:
    """One entry of the instance list.

    :param inner: address of the inner datagram socket.
    :param peer_port: port of the gRPC server, on the same address.
    :param leaving: True once the platform has decided to stop the instance.
    """

    id: str
    role: Role
    inner: Endpoint
    peer_port: int
    region: str
    failure_domain: str
    leaving: bool = False
