"""The rule FLOW, as RULES.md words it."""

from __future__ import annotations

from stand_ins.record import FlowRecord, Record, show

REORDER_WINDOW_SECONDS = 2.0
MIN_STRAY_PACKETS = 3
SAME_PACKET_SECONDS = 0.05
"""Copies of one packet reach several hosts together; they count as one packet."""
FLOW_LIFETIME_SECONDS = 60.0


def find_strays(record: Record) -> list[str]:
    """Return the flows whose packets reached other hosts and none their own."""
    found = []
    for ends, flow in record.flows.items():
        stray = longest_stray(flow)
        if stray is not None:
            since, until, packets = stray
            found.append(
                f"FLOW {show(ends)}: open at {flow.host} since {flow.opened_at:.3f}; "
                f"from {since:.3f} to {until:.3f} {packets} packets reached other "
                f"hosts and none its own"
            )
    return found


def longest_stray(flow: FlowRecord) -> tuple[float, float, int] | None:
    """Return the first span that breaks the rule, with its number of packets."""
    if flow.host is None:
        return None
    end = min(flow.ended_at or float("inf"), flow.opened_at + FLOW_LIFETIME_SECONDS)
    times: list[float] = []
    for at, host in flow.arrivals:
        if not flow.opened_at < at < end:
            continue
        if host == flow.host:
            times = []
        elif not times or at - times[-1] > SAME_PACKET_SECONDS:
            times.append(at)
        if len(times) >= MIN_STRAY_PACKETS and (
            times[-1] - times[0] >= REORDER_WINDOW_SECONDS
        ):
            return times[0], times[-1], len(times)
    return None


def find_resets(record: Record) -> list[str]:
    """Return the open flows whose client got a reset that no host sent."""
    return [
        f"FLOW {show(ends)}: open at {flow.host}, reset by {source} at {at:.3f}"
        for ends, flow in record.flows.items()
        for at, source in flow.resets
        if source.startswith("the system") and flow.host is not None
    ]
