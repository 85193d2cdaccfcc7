"""The path of one machine to the store, which can be cut without a reset."""

from __future__ import annotations

import asyncio
import contextlib

READ_BYTES = 65_536


class StorePath:
    """Forwards the connections of one machine to the store.

    :ivar server_host: address at which the machine finds the store.
    :ivar used_at: time at which the machine last sent a call.
    :ivar is_cut: True while no byte passes in either direction.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.is_cut = False
        self.used_at = float("-inf")
        self.server_host = ""
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen where the machine's settings place the store."""
        self.server_host = host
        self.server = await asyncio.start_server(self.serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection."""
        with contextlib.suppress(OSError, asyncio.CancelledError):
            upstream, downstream = await asyncio.open_connection(self.host, self.port)
            await asyncio.gather(
                self.pump(reader, downstream, is_call=True),
                self.pump(upstream, writer, is_call=False),
            )
        writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_call: bool,
    ) -> None:
        """Forward the bytes of one direction; those of a cut path are lost."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if is_call:
                    self.used_at = asyncio.get_running_loop().time()
                if not self.is_cut:
                    writer.write(data)
                    await writer.drain()
        writer.close()
