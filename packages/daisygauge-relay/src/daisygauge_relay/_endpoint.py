"""UDP sockets on the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

Receive = Callable[[bytes, tuple[str, int]], None]


class Endpoint(asyncio.DatagramProtocol):
    """A bound socket that hands each datagram to a function.

    :param receive: called with each datagram and its sender's address.
    :param report: called with an exception that ``receive`` raised. Left uncaught, it
        would make the event loop close the socket, and the process would receive
        nothing more.
    :ivar errors: number of errors that the network reported for sent datagrams.
    """

    def __init__(
        self, *, receive: Receive, report: Callable[[Exception], None]
    ) -> None:
        self.receive = receive
        self.report = report
        self.errors = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, bound: socket.socket) -> None:
        """Start reading a bound socket; datagrams may arrive before this returns."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to ``receive``."""
        try:
            self.receive(data, addr)
        except Exception as error:
            self.report(error)

    def error_received(self, exc: Exception) -> None:
        """Count an error; the sender of a lost packet retransmits it."""
        self.errors += 1

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
