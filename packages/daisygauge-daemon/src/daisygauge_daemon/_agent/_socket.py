"""UDP socket for inner datagrams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from daisygauge_records import Endpoint

from .._datagrams import ResilientDatagramProtocol
from .._events import EventLog

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
SEND_BUFFER_BYTES = 2 * 1024 * 1024


class InnerSocket(ResilientDatagramProtocol):
    """Passes datagrams to ``on_datagram``, and drops them while it is None.

    :ivar on_datagram: called with the datagram and its sender.
    """

    def __init__(self, *, log: EventLog) -> None:
        super().__init__(log=log)
        self.on_datagram: Callable[[bytes, Endpoint], None] | None = None
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport for sending."""
        self.transport = transport

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass a datagram to ``on_datagram``."""
        if self.on_datagram is not None:
            self.on_datagram(data, Endpoint(host=sender[0], port=sender[1]))

    def send(self, data: bytes, receiver: Endpoint) -> None:
        """Send a datagram, without a guarantee of delivery.

        A full socket buffer drops it, as a network may.
        """
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, (receiver.host, receiver.port))

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_inner_socket(*, local: Endpoint, log: EventLog) -> InnerSocket:
    """Bind the inner socket.

    :raises OSError: the address is in use or not assigned to this machine.
    """
    inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    inner.setblocking(False)
    inner.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    inner.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    try:
        inner.bind((local.host, local.port))
    except OSError:
        inner.close()
        raise
    _, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: InnerSocket(log=log), sock=inner
    )
    return protocol
