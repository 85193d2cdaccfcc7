"""UDP sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

Receive = Callable[[bytes, tuple[str, int]], None]


class Endpoint(asyncio.DatagramProtocol):
    """A bound socket that hands each datagram to a function.

    :ivar errors: errors that the network reported for datagrams sent.
    """

    def __init__(self, receive: Receive) -> None:
        self.receive = receive
        self.errors = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram on."""
        self.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count an error; what was lost is sent again by its sender."""
        self.errors += 1

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_endpoint(bound: socket.socket, receive: Receive) -> Endpoint:
    """Begin to read a bound socket."""
    _, endpoint = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Endpoint(receive), sock=bound
    )
    return endpoint
