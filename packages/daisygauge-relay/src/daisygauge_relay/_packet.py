"""Packets of relayed flows, as the product sees them."""

from __future__ import annotations

from socket import inet_ntoa
from typing import Protocol

from msgspec import Struct

from daisygauge_wire import ADDRESS_BYTES

PORT_BYTES = 2
END_BYTES = ADDRESS_BYTES + PORT_BYTES
SEQUENCE_RANGE = 2**32
FIRST_ACKNOWLEDGED = 2
"""Numbers that a client acknowledges while its upstream has sent no data: the
upstream's first one or the one after it. A wider range would take in another upstream's
flow now and then, since both choose their first numbers at random."""


class RelayedPacket(Struct, kw_only=True):
    """The fields of one packet that decide where it goes.

    :param flow: packed address and port of the client, then of the service; equal
        for both directions.
    :param opening: True for a client's request for a new flow.
    :param copy: how often the client has repeated its opening packet.
    :param accepting: True for an upstream's answer to an opening packet.
    :param sequence: the sender's sequence number.
    :param acknowledged: the next sequence number that the sender expects.
    :param length: bytes of data.
    :param returned: True when the upstream gives the packet back untouched.
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
    """A datagram is no packet; it is dropped and counted."""


class PacketCodec(Protocol):
    """Reads packets and makes the few that the system may send itself."""

    def read_from_client(self, data: bytes) -> RelayedPacket:
        """Read a packet that a client sent.

        :raises MalformedPacketError: the bytes are no packet.
        """
        ...

    def read_from_upstream(self, data: bytes) -> RelayedPacket:
        """Read a packet that an upstream sent or returned.

        :raises MalformedPacketError: the bytes are no packet.
        """
        ...

    def restore(self, data: bytes) -> bytes:
        """Return a returned packet as its sender wrote it."""
        ...

    def make_reset(self, flow: bytes, *, sequence: int = 0) -> bytes:
        """Return a packet that ends a flow at its client.

        :param sequence: what the client acknowledged last, for a flow that was open.
        """
        ...

    def find_request_id(self, data: bytes) -> str | None:
        """Return the id of the request that begins in a packet, if one does."""
        ...


def acknowledges(packet: RelayedPacket, sequence: int) -> bool:
    """Tell whether a client's packet chooses the upstream that began at a sequence."""
    return (packet.acknowledged - sequence) % SEQUENCE_RANGE < FIRST_ACKNOWLEDGED


def client_host(flow: bytes) -> str:
    """Return the IPv4 address of a flow's client."""
    return inet_ntoa(flow[:ADDRESS_BYTES])


def service_host(flow: bytes) -> str:
    """Return the IPv4 address of the service that a flow was opened to."""
    return inet_ntoa(flow[END_BYTES : END_BYTES + ADDRESS_BYTES])


def service_port(flow: bytes) -> int:
    """Return the port of the service that a flow was opened to."""
    return int.from_bytes(flow[END_BYTES + ADDRESS_BYTES :], "big")


def flow_name(flow: bytes) -> str:
    """Return a flow's two ends as text, for logs."""
    port = int.from_bytes(flow[ADDRESS_BYTES:END_BYTES], "big")
    return f"{client_host(flow)}:{port}>{service_host(flow)}:{service_port(flow)}"
