"""The socket on which a balancer receives the packets of one service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from daisygauge_records import Endpoint, Service
from daisygauge_wire import (
    AGENT_PART,
    IDENTITY_PART,
    SERVICE_PART,
    DerivedKeys,
    ForwardEncoder,
    KeyRing,
    decrypt_connection_id,
    pack_endpoint,
    read_destination_id,
    read_packet_header,
    unpack_endpoint,
)

from .._datagrams import ResilientDatagramProtocol
from .._events import EventLog
from . import _events as events
from ._metrics import BalancerCounts
from ._packet_table import PACKET_TABLE, Action, IdOrigin
from ._placer import Placer

MIN_FIRST_FLIGHT_BYTES = 1_200
"""Smallest datagram that may hold a caller's Initial packet (RFC 9000, 14.1)."""


class OuterSocket(ResilientDatagramProtocol):
    """Passes packets of one service from callers to agents.

    :param inner: transport of the balancer's inner socket.
    """

    def __init__(
        self,
        *,
        service: Service,
        inner: asyncio.DatagramTransport,
        placer: Placer,
        counts: BalancerCounts,
        log: EventLog,
    ) -> None:
        super().__init__(log=log)
        self.service = service
        self.service_part = service.number.to_bytes(2)
        self.inner = inner
        self.placer = placer
        self.drops = counts.drops
        self.packets = counts.for_service(service.id)
        self.keys: Mapping[int, DerivedKeys] = {}
        self.encoder: ForwardEncoder | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for replies."""
        self.transport = transport

    def use_keys(self, keys: KeyRing, *, sender: Endpoint, now: float) -> None:
        """Put keys in force.

        :param sender: inner address of this balancer.
        :param now: Unix time in seconds.
        """
        newest = keys.newest(now=now)
        self.keys = keys.accepted(now=now)
        self.encoder = newest and ForwardEncoder(
            address=self.service.address, sender=sender, key=newest
        )

    def record_defect(self) -> None:
        """Count a packet whose handling raised an unexpected error."""
        self.drops["defect"] += 1

    def handle_datagram(self, data: bytes, caller: tuple[str, int]) -> None:
        """Handle one packet from a caller by the packet table."""
        destination_id = read_destination_id(data)
        route = decrypt_connection_id(destination_id, keys=self.keys)
        if route is None:
            self.handle_unrouted(data, caller)
            return
        # The packet table forwards every kind of packet whose ID an agent chose.
        if route[SERVICE_PART] != self.service_part:
            self.drop(caller, "foreign-service")
            return
        if self.encoder is None:
            self.drop(caller, "no-key")
            return
        frame = self.encoder.encode(route[IDENTITY_PART], pack_endpoint(*caller), data)
        self.inner.sendto(frame, unpack_endpoint(route[AGENT_PART]))
        self.packets.forwarded += 1

    def handle_unrouted(self, data: bytes, caller: tuple[str, int]) -> None:
        """Handle a packet whose connection ID no agent has issued."""
        header = read_packet_header(data)
        if header is None:
            self.drop(caller, "malformed")
            return
        if PACKET_TABLE[IdOrigin.CALLER, header.kind] is Action.DROP:
            self.drop(caller, "unknown-id")
            return
        if len(data) < MIN_FIRST_FLIGHT_BYTES:
            self.drop(caller, "short-first-flight")
            return
        self.placer.place(
            data,
            service=self.service,
            destination_id=header.destination_id,
            caller=caller,
            now=time.monotonic(),
        )

    def drop(self, caller: tuple[str, int], reason: str) -> None:
        """Count and log a packet that is dropped."""
        self.drops[reason] += 1
        self.log.write(
            events.PACKET_DROPPED,
            service=self.service.id,
            caller=f"{caller[0]}:{caller[1]}",
            reason=reason,
        )

    def send_reply(self, packet: bytes, caller: tuple[str, int]) -> None:
        """Send a packet to a caller from the service's own address."""
        self.transport.sendto(packet, caller)
        self.packets.replied += 1

    def error_received(self, error: OSError) -> None:
        """Count a packet that the operating system refused to send."""
        self.drops["outer-send-error"] += 1
