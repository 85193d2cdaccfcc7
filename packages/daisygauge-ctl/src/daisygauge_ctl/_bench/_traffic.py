"""Plans and results that the processes of the datapath experiment exchange."""

from __future__ import annotations

import enum

from attrs import field, frozen

from daisygauge_records import Endpoint, Key

SEND_TIME_BYTES = 8
"""Each packet ends with the monotonic time, in nanoseconds, at which it was sent."""


class TrafficKind(enum.Enum):
    """The kind of packets that a source sends."""

    ESTABLISHED = "established"
    """Packets of established flows to the outer socket."""
    REPLY = "reply"
    """Replies to the inner socket."""
    FIRST_FLIGHT = "first-flight"
    """First flights to the outer socket, each of a new flow."""


@frozen(kw_only=True)
class SourcePlan:
    """The packets that a source sends.

    :param receiver: address to which packets are sent.
    :param agent: the agent that connection IDs and replies name.
    :param caller: destination of replies, and the host to send from.
    :param key: key for connection IDs and replies.
    :param service: number of the service.
    :param flows: number of distinct flows, used in turn.
    :param rate: packets a second, 0 for as many as possible.
    :param seconds: how long to send.
    :param packet_bytes: length of each packet.
    :param seed: seed of the connection IDs of first flights.
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
    """The result of a source.

    :param sent: number of packets.
    :param seconds: how long the source sent.
    :param lateness_seconds: the longest time by which it was behind its rate.
    """

    sent: int
    seconds: float
    lateness_seconds: float


@frozen(kw_only=True)
class SinkPlan:
    """How a sink receives packets.

    :param address: address to receive on.
    :param trailer_bytes: length of the trailer after the packet in each datagram.
    :param keep_delays: whether to measure the delay of each packet.
    :param answer_key: key for replies that accept first flights; None for no replies.
    """

    address: Endpoint
    trailer_bytes: int
    keep_delays: bool
    answer_key: Key | None = None


@frozen(kw_only=True)
class SinkResult:
    """The result of a sink.

    :param received: number of packets.
    :param rate: packets a second between the first and the last packet.
    :param p50: median delay in seconds; 0 if delays are not measured.
    :param p99: 99th percentile of the delay in seconds.
    :param p999: 99.9th percentile of the delay in seconds.
    """

    received: int
    rate: float
    p50: float = 0.0
    p99: float = 0.0
    p999: float = 0.0


@frozen(kw_only=True)
class Part:
    """The result of one part of the experiment.

    :param name: path of the packets: ``direct``, ``bare``, or another name for the
        balancer.
    :param processor_us: processor time of the forwarding process for each
        packet that arrived, in microseconds.
    :param resident_bytes: resident memory of the forwarding process after the part.
    :param labels: parameters in which parts of the same name differ.
    """

    name: str
    source: SourceResult
    sink: SinkResult
    processor_us: float = 0.0
    resident_bytes: int = 0
    labels: dict[str, str] = field(factory=dict)
