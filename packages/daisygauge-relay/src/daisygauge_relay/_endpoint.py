"""UDP sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

Receive = Callable[[bytes, tuple[str, int]], None]


class Endpoint(asyncio.DatagramProtocol):
    """A bound socket that hands each datagram to a function.

    :param receive: takes a datagram and its sender.
    :param report: takes an error that ``receive`` raised. The event loop would close
        the socket for it, and one datagram must not make a process deaf.
    :ivar errors: errors that the network reported for datagrams sent.
    """

    def __init__(
        self, *, receive: Receive, report: Callable[[Exception], None]
    ) -> None:
        self.receive = receive
        self.report = report
        self.errors = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, bound: socket.socket) -> None:
        """Begin to read a bound socket; datagrams may come before this returns."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram on."""
        try:
            self.receive(data, addr)
        except Exception as error:
            self.report(error)

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
