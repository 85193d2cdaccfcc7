"""What the processes of the datapath experiment tell each other."""

from __future__ import annotations

import enum

from attrs import field, frozen

from daisygauge_records import Endpoint, Key

STAMP_BYTES = 8
"""Each packet ends with the monotonic time of its sending in nanoseconds."""


class TrafficKind(enum.Enum):
    """What a source sends."""

    ESTABLISHED = "established"
    """Packets of established flows to the outer socket."""
    REPLY = "reply"
    """Replies to the inner socket."""
    FIRST_FLIGHT = "first-flight"
    """First flights to the outer socket, each of a new flow."""


@frozen(kw_only=True)
class SourcePlan:
    """What a source sends.

    :param receiver: where packets go.
    :param agent: the agent that connection IDs name.
    :param caller: where replies are to end.
    :param flows: distinct flows, taken in turn.
    :param rate: packets a second, 0 for as many as possible.
    :param packet_bytes: length of each packet.
    """

    kind: TrafficKind
    receiver: Endpoint
    agent: Endpoint
    caller: Endpoint
    key: Key
    service: int
    flows: int
    rate: float
    seconds: float
    packet_bytes: int
    seed: int


@frozen(kw_only=True)
class SourceResult:
    """What a source has sent.

    :param lateness_seconds: how far the sender was behind its plan at worst.
    """

    sent: int
    seconds: float
    lateness_seconds: float


@frozen(kw_only=True)
class SinkPlan:
    """What a sink receives.

    :param trailer_bytes: bytes that follow the packet in each datagram.
    :param keep_delays: whether to measure the delay of each packet.
    :param answer_key: with a key, first flights are answered as taken.
    """

    address: Endpoint
    trailer_bytes: int
    keep_delays: bool
    answer_key: Key | None = None


@frozen(kw_only=True)
class SinkResult:
    """What a sink has received.

    :param rate: packets a second between the first and the last one.
    :param p50: median delay in seconds.
    """

    received: int
    rate: float
    p50: float = 0.0
    p99: float = 0.0
    p999: float = 0.0


@frozen(kw_only=True)
class Part:
    """One part of the experiment.

    :param processor_us: processor time of the forwarding process for each
        packet that arrived, in microseconds.
    :param resident_bytes: memory of the forwarding process after the part.
    """

    name: str
    source: SourceResult
    sink: SinkResult
    processor_us: float = 0.0
    resident_bytes: int = 0
    labels: dict[str, str] = field(factory=dict)
