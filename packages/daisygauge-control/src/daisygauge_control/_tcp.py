"""TCP sockets by IPv4 address.

The event loop takes host names, too, and loads what encodes them; a process that only
knows addresses saves that at its start.
"""

from __future__ import annotations

import asyncio
import socket

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def listen_tcp(host: str, port: int) -> socket.socket:
    """Return a socket that listens at an address.

    :raises OSError: the address can't be bound.
    """
    bound = socket.create_server((host, port))
    bound.setblocking(False)
    return bound


async def connect_tcp(host: str, port: int) -> Streams:
    """Connect to an address.

    :raises OSError: nobody listens there.
    """
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(plain, (host, port))
    except BaseException:
        plain.close()
        raise
    return await asyncio.open_connection(sock=plain)
