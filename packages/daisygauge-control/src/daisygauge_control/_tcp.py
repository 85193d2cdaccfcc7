"""TCP sockets by IPv4 address.

The event loop also accepts host names and loads the codec for them. A process that
only uses addresses starts faster without it.
"""

from __future__ import annotations

import asyncio
import socket

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def listen_tcp(host: str, port: int) -> socket.socket:
    """Return a socket that listens on an address.

    :raises OSError: if the address can't be bound.
    """
    bound = socket.create_server((host, port))
    bound.setblocking(False)
    return bound


async def connect_tcp(host: str, port: int) -> Streams:
    """Connect to an address.

    :raises OSError: if the connection can't be established.
    """
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(plain, (host, port))
    except BaseException:
        plain.close()
        raise
    return await asyncio.open_connection(sock=plain)
