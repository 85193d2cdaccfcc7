"""Load reports, which agents send to their peers and to balancers."""

from __future__ import annotations

import struct

from attrs import frozen

_LOAD_REPORT = struct.Struct(">HHHIIfBIf")
_LEAVING_BIT = 1
_READY_BIT = 2


@frozen(kw_only=True)
class LoadReport:
    """Load of an agent at one moment.

    :param slots: number of requests that the upstream runs at once.
    :param running: number of short requests that occupy a slot.
    :param waiting: number of short requests in the queue.
    :param connections: number of open connections.
    :param max_connections: number of connections that the upstream may hold.
    :param service_seconds: smoothed time that a short request occupies its slot.
    :param leaving: True once the agent accepts no new work.
    :param ready: False until the upstream answers its health check.
    :param sequence: increases with every load report of one incarnation.
    :param recent_completions: number of recently completed short requests, each
        with a weight that decreases with its age.
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
    recent_completions: float = 0.0

    @property
    def backlog(self) -> float:
        """Running and waiting short requests per slot."""
        return (self.running + self.waiting) / max(self.slots, 1)

    @property
    def connection_utilization(self) -> float:
        """Open connections as a share of ``max_connections``."""
        return self.connections / max(self.max_connections, 1)


def encode_load_report(report: LoadReport) -> bytes:
    """Encode a load report as the payload of an inner datagram."""
    flags = _LEAVING_BIT * report.leaving | _READY_BIT * report.ready
    return _LOAD_REPORT.pack(
        report.slots,
        min(report.running, 0xFFFF),
        min(report.waiting, 0xFFFF),
        report.connections,
        report.max_connections,
        report.service_seconds,
        flags,
        report.sequence & 0xFFFFFFFF,
        report.recent_completions,
    )


def decode_load_report(payload: bytes) -> LoadReport:
    """Decode a load report.

    :raises ValueError: the payload doesn't have the length of a load report.
    """
    try:
        fields = _LOAD_REPORT.unpack(payload)
    except struct.error as error:
        raise ValueError(
            f"the payload of a load report must have {_LOAD_REPORT.size} bytes"
        ) from error
    slots, running, waiting, connections, max_connections = fields[:5]
    service_seconds, flags, sequence, recent_completions = fields[5:]
    return LoadReport(
        slots=slots,
        running=running,
        waiting=waiting,
        connections=connections,
        max_connections=max_connections,
        service_seconds=service_seconds,
        leaving=bool(flags & _LEAVING_BIT),
        ready=bool(flags & _READY_BIT),
        sequence=sequence,
        recent_completions=recent_completions,
    )
