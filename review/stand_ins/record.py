"""What was sent, answered and run; written to ``record.txt`` at the end."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path

from stand_ins.packets import RST, SYN, Packet

Flow = tuple[str, int, str, int]


@dataclass
class FlowRecord:
    """What clients and hosts have seen of one flow.

    :param host: the host that has opened the flow.
    :param arrivals: time and host of the client's packets that reached a host.
    """

    host: str | None = None
    opened_at: float = 0.0
    ended_at: float | None = None
    end: str = ""
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    resets: list[tuple[float, str]] = field(default_factory=list)


class Record:
    """Collects events with the seconds since the start."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self.flows: dict[Flow, FlowRecord] = {}
        self.runs: dict[str, list[str]] = {}
        self.run_times: dict[str, float] = {}
        self.openings: dict[tuple[str, Flow], int] = {}
        self.tampered: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append((self.now(), text))

    def flow(self, ends: Flow) -> FlowRecord:
        """Return the record of the flow that a client's packet belongs to."""
        return self.flows.setdefault(ends, FlowRecord())

    def note_arrival(self, host: str, packet: Packet) -> None:
        """Record a client's packet at a host."""
        self.note(f"host {host} gets {describe(packet)}")
        if not packet.flags & (SYN | RST):
            self.flow(packet.ends).arrivals.append((self.now(), host))

    def note_opening(self, host: str, packet: Packet) -> None:
        """Record the first opening packet of a flow that a host takes."""
        self.openings.setdefault((host, packet.ends), packet.ack)

    def note_open(self, host: str, ends: Flow) -> None:
        """Record that a flow has opened at a host."""
        flow = self.flow(ends)
        flow.host, flow.opened_at = host, self.now()
        self.note(f"host {host} opens {show(ends)}")

    def note_end(self, ends: Flow, reason: str) -> None:
        """Record that one end has ended a flow."""
        flow = self.flow(ends)
        if flow.ended_at is None:
            flow.ended_at, flow.end = self.now(), reason
            self.note(f"{show(ends)} ends: {reason}")

    def note_run(self, host: str, request: str) -> None:
        """Record that a host began to work on a request."""
        self.runs.setdefault(request, []).append(host)
        self.run_times.setdefault(request, self.now())
        self.note(f"host {host} runs {request}")

    def write(self, path: Path, verdict: str) -> None:
        """Write all lines and the verdict."""
        text = "".join(f"{at:9.3f} {line}\n" for at, line in self.lines)
        path.write_text(f"{text}{verdict}\n")


def show(ends: Flow) -> str:
    """Return a flow's ends as text."""
    return "{}:{}>{}:{}".format(*ends)


def describe(packet: Packet) -> str:
    """Return a packet as text."""
    return (
        f"{show(packet.ends)} flags={packet.flags} seq={packet.seq} "
        f"ack={packet.ack} len={len(packet.data)}"
    )
