"""Packets of relayed flows, independent of the platform's format."""

from __future__ import annotations

from socket import inet_ntoa
from typing import Protocol

from msgspec import Struct

from daisygauge_wire import ADDRESS_BYTES

PORT_BYTES = 2
ENDPOINT_BYTES = ADDRESS_BYTES + PORT_BYTES
SEQUENCE_RANGE = 2**32
ACKNOWLEDGED_RANGE = 2
"""Size of the range of numbers that a client acknowledges before its upstream has sent
data: the upstream's first sequence number and the next. A wider range would sometimes
match another upstream, since each chooses its first number at random."""


class RelayedPacket(Struct, kw_only=True):
    """The fields of one packet that routing uses.

    :param flow: packed address and port of the client, then of the service; equal
        for both directions.
    :param opening: True for a client's request for a new flow.
    :param copy: number of copies of the opening packet that the client sent before.
    :param accepting: True for an upstream's answer to an opening packet.
    :param sequence: the sender's sequence number.
    :param acknowledged: the next sequence number that the sender expects.
    :param length: bytes of data.
    :param finishing: True when the sender closes the flow.
    :param resetting: True when the sender resets the flow.
    :param returned: True for a client's packet that the upstream returned.
    """

    flow: bytes
    opening: bool
    copy: int
    accepting: bool
    sequence: int
    acknowledged: int
    length: int
    finishing: bool
    resetting: bool
    returned: bool


class MalformedPacketError(ValueError):
    """A datagram can't be read as a packet; it is dropped and counted."""


class PacketCodec(Protocol):
    """Reads the platform's packets and creates resets."""

    def read_from_client(self, data: bytes) -> RelayedPacket:
        """Read a packet that a client sent.

        :raises MalformedPacketError: the bytes can't be read as a packet.
        """
        ...

    def read_from_upstream(self, data: bytes) -> RelayedPacket:
        """Read a packet that an upstream sent or returned.

        :raises MalformedPacketError: the bytes can't be read as a packet.
        """
        ...

    def restore(self, data: bytes) -> bytes:
        """Return the original bytes of a packet that the upstream returned."""
        ...

    def make_reset(self, flow: bytes, *, sequence: int = 0) -> bytes:
        """Create a packet that resets a flow at its client.

        :param sequence: the client's latest acknowledgement, for a flow that was open.
        """
        ...

    def find_request_id(self, data: bytes) -> str | None:
        """Return the id of the request that begins in a packet, or None."""
        ...

    def read_status(self, data: bytes) -> int | None:
        """Return the status of the response that starts in a packet, or None."""
        ...

    def is_refusal(self, data: bytes) -> bool:
        """Return True for a response that says that its request has not run."""
        ...


def acknowledges(packet: RelayedPacket, sequence: int) -> bool:
    """Return True when a packet acknowledges an upstream's first sequence number.

    :param sequence: the upstream's first sequence number.
    """
    return (packet.acknowledged - sequence) % SEQUENCE_RANGE < ACKNOWLEDGED_RANGE


def client_host(flow: bytes) -> str:
    """Return the IPv4 address of a flow's client."""
    return inet_ntoa(flow[:ADDRESS_BYTES])


def service_host(flow: bytes) -> str:
    """Return the IPv4 address that a flow was opened to."""
    return inet_ntoa(flow[ENDPOINT_BYTES : ENDPOINT_BYTES + ADDRESS_BYTES])


def service_port(flow: bytes) -> int:
    """Return the port that a flow was opened to."""
    return int.from_bytes(flow[ENDPOINT_BYTES + ADDRESS_BYTES :], "big")


def service_endpoint(flow: bytes) -> bytes:
    """Return the packed address and port that a flow was opened to."""
    return flow[ENDPOINT_BYTES:]


def format_flow(flow: bytes) -> str:
    """Return a flow's two addresses and ports as text, for logs."""
    port = int.from_bytes(flow[ADDRESS_BYTES:ENDPOINT_BYTES], "big")
    return f"{client_host(flow)}:{port}>{service_host(flow)}:{service_port(flow)}"
