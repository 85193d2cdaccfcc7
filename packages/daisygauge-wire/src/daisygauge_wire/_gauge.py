"""The load of one agent, as its peers and balancers learn it."""

from __future__ import annotations

import struct

from attrs import frozen

_GAUGE = struct.Struct(">HHHIIfBIf")
_LEAVING = 1
_READY = 2


@frozen(kw_only=True)
class Gauge:
    """Load figures of an agent at one moment.

    :param slots: requests that the upstream runs at once.
    :param running: short requests that occupy a slot.
    :param waiting: short requests in the queue.
    :param connections: open connections.
    :param max_connections: connections that the upstream may hold.
    :param service_seconds: smoothed time of a short request in its slot.
    :param ready: False until the upstream answers its health check.
    :param sequence: grows with every gauge of one incarnation.
    :param recent: short requests completed lately, older ones counting less.
    """

    slots: int
    running: int
    waiting: int
    connections: int
    max_connections: int
    service_seconds: float
    leaving: bool
    ready: bool
    sequence: int
    recent: float = 0.0

    @property
    def backlog(self) -> float:
        """Requests running or waiting for each slot."""
        return (self.running + self.waiting) / max(self.slots, 1)

    @property
    def fill(self) -> float:
        """Open connections as a share of the allowed number."""
        return self.connections / max(self.max_connections, 1)


def encode_gauge(gauge: Gauge) -> bytes:
    """Serialize a gauge for the payload of an inner datagram."""
    flags = _LEAVING * gauge.leaving | _READY * gauge.ready
    return _GAUGE.pack(
        gauge.slots,
        min(gauge.running, 0xFFFF),
        min(gauge.waiting, 0xFFFF),
        gauge.connections,
        gauge.max_connections,
        gauge.service_seconds,
        flags,
        gauge.sequence & 0xFFFFFFFF,
        gauge.recent,
    )


def decode_gauge(payload: bytes) -> Gauge:
    """Read a gauge.

    :raises ValueError: the payload has another length.
    """
    try:
        fields = _GAUGE.unpack(payload)
    except struct.error as error:
        raise ValueError(f"a gauge has {_GAUGE.size} bytes") from error
    slots, running, waiting, connections, maximum = fields[:5]
    seconds, flags, sequence, recent = fields[5:]
    return Gauge(
        slots=slots,
        running=running,
        waiting=waiting,
        connections=connections,
        max_connections=maximum,
        service_seconds=seconds,
        leaving=bool(flags & _LEAVING),
        ready=bool(flags & _READY),
        sequence=sequence,
        recent=recent,
    )
