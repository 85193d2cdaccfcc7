"""The server for calls from other daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from daisygauge_control import authenticate_server

from ._runtime import Runtime

CLOSE_TIMEOUT_SECONDS = 1.0


class PeerPort:
    """Serves the control calls and the calls of the daemon's role.

    One server holds all handlers, because a daemon has one port for its peers.

    :param handlers: handlers that the role adds to those of control.
    """

    def __init__(self, *, runtime: Runtime, handlers: Sequence[Any] = ()) -> None:
        self.settings = runtime.settings
        self.server = Server([*runtime.source.services(), *handlers])
        authenticate_server(
            self.server,
            receiver=runtime.settings.id,
            keys=lambda: runtime.view.keys,
            clock=runtime.now,
        )

    async def start(self) -> None:
        """Listen for calls that a key in force has signed.

        :raises OSError: the address is taken.
        """
        await self.server.start(self.settings.host, self.settings.peer_port)

    async def stop(self) -> None:
        """Close the server and wait up to ``CLOSE_TIMEOUT_SECONDS`` for its calls."""
        self.server.close()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self.server.wait_closed()
        except TimeoutError:
            return
