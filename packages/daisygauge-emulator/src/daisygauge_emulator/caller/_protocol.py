"""What the adapters of both QUIC libraries have in common.

The libraries share the interface of their asyncio protocols, but no class.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar


class SocketOwner:
    """Mixin of a connection that owns its socket; goes before the library's class."""

    _transport: asyncio.DatagramTransport | None
    _connected_waiter: Any

    def release(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Give up a handshake that nobody waits for any more."""
        self._connected_waiter = None
        self.close()
        self.release()

    def transmit(self) -> None:
        """Send what is due, unless the socket is closed already."""
        if self._transport is not None and not self._transport.is_closing():
            super().transmit()


Opened = TypeVar("Opened", bound=SocketOwner)


async def open_connection(
    create: Callable[[], Opened], *, host: str, port: int
) -> Opened:
    """Open a connection on a socket of its own and wait for its handshake.

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
