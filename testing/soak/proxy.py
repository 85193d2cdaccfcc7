"""TCP proxy on loopback between one process and the store, with injected faults."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK_BYTES = 65_536


class Proxy:
    """Forwards bytes in both directions; ``mode`` selects the fault.

    :ivar mode: ``pass``, ``delayed``, ``reset``, ``silent`` or ``one-way`` (answers
        are lost).
    """

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_seconds = 0.3
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def stop(self):
        self.server.close()
        self.abort()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def abort(self):
        """Reset every connection."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.abort()

    async def serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # The end of the soak cancels the tasks that wait on silent connections.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            store_reader, store_writer = await asyncio.open_connection(*self.target)
            await asyncio.gather(
                self.relay(reader, store_writer, is_answer=False),
                self.relay(store_reader, writer, is_answer=True),
            )

    async def relay(self, reader, writer, *, is_answer):
        self.writers.add(writer)
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode == "delayed":
                    await asyncio.sleep(self.delay_seconds)
                is_lost = self.mode == "silent" or (
                    self.mode == "one-way" and is_answer
                )
                # TCP can't skip bytes: once some are lost, the connection stays silent.
                if is_lost:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()
