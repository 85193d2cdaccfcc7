"""Common parts of the adapters of both QUIC libraries.

The asyncio protocols of the libraries have the same interface, but no common class.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar


class SocketOwner:
    """Mixin of a connection with its own socket.

    It must precede the library's class in the list of base classes.
    """

    _transport: asyncio.DatagramTransport | None
    _connected_waiter: Any

    def release(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Abort a handshake whose waiter was cancelled or has failed."""
        self._connected_waiter = None
        self.close()
        self.release()

    def transmit(self) -> None:
        """Send pending datagrams unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            super().transmit()


Opened = TypeVar("Opened", bound=SocketOwner)


async def open_connection(
    create: Callable[[], Opened], *, host: str, port: int
) -> Opened:
    """Open a connection on its own socket and wait for its handshake.

    :raises ConnectionError: the handshake was refused.
    """
    _, connection = await asyncio.get_running_loop().create_datagram_endpoint(
        create, local_addr=("0.0.0.0", 0)
    )
    try:
        connection.connect((host, port))
        await connection.wait_connected()
    except BaseException:
        connection.abort()
        raise
    return connection
