"""A bare uvloop forwarder, to measure the cost of the event loop and the system.

usage: python -m daisygauge_ctl._bench.forwarder LISTEN_HOST:PORT SEND_HOST:PORT
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from ._sockets import open_socket, parse_address


class Forwarder(asyncio.DatagramProtocol):
    """Forwards each datagram unchanged.

    :param outgoing: transport of the socket to send from.
    :param receiver: address to which datagrams are forwarded.
    """

    def __init__(
        self, *, outgoing: asyncio.DatagramTransport, receiver: tuple[str, int]
    ) -> None:
        self.outgoing = outgoing
        self.receiver = receiver

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Forward one datagram."""
        self.outgoing.sendto(data, self.receiver)


async def forward(listen: tuple[str, int], receiver: tuple[str, int]) -> None:
    """Forward datagrams until the process receives SIGTERM."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    outgoing, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, sock=open_socket((listen[0], 0))
    )
    await loop.create_datagram_endpoint(
        lambda: Forwarder(outgoing=outgoing, receiver=receiver),
        sock=open_socket(listen),
    )
    await stopped.wait()


if __name__ == "__main__":
    uvloop.run(forward(parse_address(sys.argv[1]), parse_address(sys.argv[2])))
