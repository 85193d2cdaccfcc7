"""Records that operators publish, and how they are checked and merged."""

from ._instances import Instance, Role
from ._models import (
    Endpoint,
    FifoQueue,
    HandOff,
    Key,
    LoadHandOff,
    NoHandOff,
    Placement,
    PublishedLoadPlacement,
    Queue,
    Record,
    RendezvousPlacement,
    RequestClass,
    RoundRobinPlacement,
    Service,
    Spec,
    Upstream,
    WorthQueue,
)

__all__ = [
    "Endpoint",
    "FifoQueue",
    "HandOff",
    "Instance",
    "Key",
    "LoadHandOff",
    "NoHandOff",
    "Placement",
    "PublishedLoadPlacement",
    "Queue",
    "Record",
    "RendezvousPlacement",
    "RequestClass",
    "Role",
    "RoundRobinPlacement",
    "Service",
    "Spec",
    "Upstream",
    "WorthQueue",
]
