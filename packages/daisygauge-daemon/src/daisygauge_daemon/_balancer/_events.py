"""Events of a balancer."""

from __future__ import annotations

from .._events import Event, Level

FLOW_PLACED = Event(
    number=200,
    name="flow-placed",
    level=Level.INFO,
    text="A new flow was offered to its first candidate.",
    fields=("service", "caller", "flow", "candidates"),
)
FLOW_MOVED = Event(
    number=201,
    name="flow-moved",
    level=Level.INFO,
    text="A first flight went to the next candidate because the previous one did not "
    "accept it.",
    fields=("service", "caller", "flow", "reason", "refused_by", "candidate"),
)
FLOW_UNPLACED = Event(
    number=202,
    name="flow-unplaced",
    level=Level.WARNING,
    text="No candidate accepted a first flight; the caller retransmits it. Check that "
    "upstreams of the service are ready and not all full.",
    fields=("service", "caller", "flow", "reason"),
    limited=True,
)
NO_CANDIDATES = Event(
    number=203,
    name="no-candidates",
    level=Level.WARNING,
    text="A first flight was dropped: the service has no eligible upstream. "
    "Publish upstream records for it or end the drain.",
    fields=("service", "caller"),
    limited=True,
)
PACKET_DROPPED = Event(
    number=204,
    name="packet-dropped",
    level=Level.WARNING,
    text="A caller's packet was dropped. A high rate points to a scan, or to callers "
    "whose connection IDs were issued under an expired key.",
    fields=("service", "caller", "reason"),
    limited=True,
)
INNER_DROPPED = Event(
    number=205,
    name="inner-datagram-dropped",
    level=Level.WARNING,
    text="An inner datagram was dropped. Check that all daemons hold the same key "
    "records and run compatible versions.",
    fields=("sender", "reason"),
    limited=True,
)
HOST_SUSPECTED = Event(
    number=206,
    name="host-suspected",
    level=Level.WARNING,
    text="A host did not answer first flights and gets no new flows until its back-off "
    "ends. Check its agent.",
    fields=("service", "host"),
)
HOST_CLEARED = Event(
    number=207,
    name="host-cleared",
    level=Level.INFO,
    text="A suspect host gets new flows again.",
    fields=("service", "host"),
)
SERVICE_BOUND = Event(
    number=208,
    name="service-bound",
    level=Level.INFO,
    text="The balancer listens for the packets of a service.",
    fields=("service", "address"),
)
SERVICE_UNBOUND = Event(
    number=209,
    name="service-unbound",
    level=Level.INFO,
    text="The balancer no longer listens for the packets of a service.",
    fields=("service", "address"),
)
BIND_FAILED = Event(
    number=210,
    name="bind-failed",
    level=Level.ERROR,
    text="The address of a service can't be bound; the bind is retried. Free the "
    "address, or set outer_host to an address of this instance.",
    fields=("service", "address", "error"),
    limited=True,
)
ELIGIBLE_CHANGED = Event(
    number=211,
    name="eligible-changed",
    level=Level.INFO,
    text="The hosts that get new flows of a service have changed.",
    fields=("service", "hosts", "ramping"),
)
WOKE_LATE = Event(
    number=212,
    name="woke-late",
    level=Level.WARNING,
    text="The process did not run for a while; pending first flights are dropped and "
    "no host becomes suspect because of them. Check the instance for overload.",
    fields=("late_seconds", "dropped"),
)

EVENTS = (
    FLOW_PLACED,
    FLOW_MOVED,
    FLOW_UNPLACED,
    NO_CANDIDATES,
    PACKET_DROPPED,
    INNER_DROPPED,
    HOST_SUSPECTED,
    HOST_CLEARED,
    SERVICE_BOUND,
    SERVICE_UNBOUND,
    BIND_FAILED,
    ELIGIBLE_CHANGED,
    WOKE_LATE,
)
