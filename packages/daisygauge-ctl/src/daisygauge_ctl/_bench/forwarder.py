"""A bare uvloop forwarder: what the event loop and the system alone cost.

usage: python -m daisygauge_ctl._bench.forwarder LISTEN_HOST:PORT SEND_HOST:PORT
"""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop

from ._sockets import open_socket, read_address


class Forwarder(asyncio.DatagramProtocol):
    """Sends each datagram on as it is.

    :param outgoing: transport of the socket to send from.
    """

    def __init__(
        self, *, outgoing: asyncio.DatagramTransport, receiver: tuple[str, int]
    ) -> None:
        self.outgoing = outgoing
        self.receiver = receiver

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Send one datagram on."""
        self.outgoing.sendto(data, self.receiver)


async def forward(listen: tuple[str, int], receiver: tuple[str, int]) -> None:
    """Forward until a signal comes."""
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
    uvloop.run(forward(read_address(sys.argv[1]), read_address(sys.argv[2])))
