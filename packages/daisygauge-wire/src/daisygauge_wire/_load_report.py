"""The load of one agent, as its peers and balancers learn it."""

from __future__ import annotations

import struct

from attrs import frozen

_LOAD_REPORT = struct.Struct(">HHHIIfBIf")
_LEAVING = 1
_READY = 2


@frozen(kw_only=True)
class LoadReport:
    """Load figures of an agent at one moment.

    :param slots: requests that the upstream runs at once.
    :param running: short requests that occupy a slot.
    :param waiting: short requests in the queue.
    :param connections: open connections.
    :param max_connections: connections that the upstream may hold.
    :param service_seconds: smoothed time of a short request in its slot.
    :param ready: False until the upstream answers its health check.
    :param sequence: grows with every load report of one incarnation.
    :param recent_completions: recently completed short requests, with a weight
        that decays with their age.
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
        """Requests running or waiting for each slot."""
        return (self.running + self.waiting) / max(self.slots, 1)

    @property
    def connection_utilization(self) -> float:
        """Open connections as a share of the allowed number."""
        return self.connections / max(self.max_connections, 1)


def encode_load_report(report: LoadReport) -> bytes:
    """Serialize a load report for the payload of an inner datagram."""
    flags = _LEAVING * report.leaving | _READY * report.ready
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
    """Read a load report.

    :raises ValueError: the payload has another length.
    """
    try:
        fields = _LOAD_REPORT.unpack(payload)
    except struct.error as error:
        raise ValueError(f"a load report has {_LOAD_REPORT.size} bytes") from error
    slots, running, waiting, connections, maximum = fields[:5]
    seconds, flags, sequence, recent = fields[5:]
    return LoadReport(
        slots=slots,
        running=running,
        waiting=waiting,
        connections=connections,
        max_connections=maximum,
        service_seconds=seconds,
        leaving=bool(flags & _LEAVING),
        ready=bool(flags & _READY),
        sequence=sequence,
        recent_completions=recent,
    )
