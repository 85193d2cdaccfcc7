"""Directories of other processes: served to them and read from them.

A process offers the interface of the platform's reader to its peers, so that few
processes read the platform, and those that it turns away still learn of changes.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections.abc import Callable

from ._directory import NO_REVISION, Directory
from ._directory_messages import (
    ChangesReply,
    ChangesRequest,
    MalformedMessageError,
    PackedReply,
    decode_reply,
    decode_request,
    encode_message,
    pack_items,
)
from ._errors import PlatformUnavailableError
from ._http_client import is_over
from ._signal import Signal
from ._tcp import Streams, connect_tcp, listen_tcp

ANSWER_SECONDS = 0.5
"""Longest time for an answer beyond the wait that was asked for: peers are within
milliseconds, and a dark one must be left well within the time of a change."""
QUICK_ANSWER_SECONDS = 0.2
"""The same for a process that knows nothing yet: the next peer may answer at once, and
all routes of a large site take 0.04 s on the narrowest link."""
LONGEST_WAIT_SECONDS = 5.0
"""Longest wait that a peer may ask for."""
MAX_PACKED = 8
"""Replies kept packed: followers of a process ask after few different revisions."""
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Far above a whole directory; a larger length is garbage."""

_LENGTH = struct.Struct("!I")


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Read one length-prefixed message.

    :raises MalformedMessageError: the length is out of bounds.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"a message of {length} bytes")
    return await reader.readexactly(length)


def frame_message(message: bytes) -> bytes:
    """Return a message with its length in front."""
    return _LENGTH.pack(len(message)) + message


class DirectoryServer:
    """Answers peers from this process's directory.

    :param changed: notified after each change of the directory.
    :param clock: monotonic time in seconds.
    :param report: takes an unexpected error of one peer's call.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        changed: Signal,
        clock: Callable[[], float],
        report: Callable[[Exception], None],
    ) -> None:
        self.directory = directory
        self.changed = changed
        self.clock = clock
        self.report = report
        self.server: asyncio.Server | None = None
        # Packed items by the revision asked for, all for the revision ``packed_as_of``.
        self.packed: dict[int, bytes] = {}
        self.packed_as_of = NO_REVISION

    async def start(self, *, host: str, port: int) -> None:
        """Listen for peers."""
        bound = listen_tcp(host, port)
        self.server = await asyncio.start_server(self.serve, sock=bound)

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one peer until it closes the connection."""
        # The end of the process cancels what waits; the streams library would print
        # that as a failure.
        with contextlib.suppress(
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            MalformedMessageError,
        ):
            await self.serve_calls(reader, writer)
        writer.close()

    async def serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer calls in turn.

        :raises MalformedMessageError: the peer sends no calls.
        """
        while True:
            request = decode_request(await read_message(reader))
            try:
                reply = encode_message(await self.answer(request))
            except Exception as error:
                self.report(error)
                return
            if writer.is_closing():
                return
            writer.write(frame_message(reply))
            await writer.drain()

    async def answer(self, request: ChangesRequest) -> PackedReply:
        """Return what a peer lacks, waiting a while when that is nothing."""
        is_current = request.after >= self.directory.as_of
        if is_current and request.after > NO_REVISION:
            seconds = min(request.wait_seconds, LONGEST_WAIT_SECONDS)
            await self.changed.wait(seconds=seconds)
        # Removals before the floor aren't known here, so a peer that may need them
        # is given everything.
        is_complete = request.after < max(self.directory.history_start, NO_REVISION + 1)
        return PackedReply(
            as_of=self.directory.as_of,
            age_seconds=self.clock() - self.directory.confirmed_at,
            is_complete=is_complete,
            items=self.pack(NO_REVISION if is_complete else request.after),
        )

    def pack(self, after: int) -> bytes:
        """Return the changes after a revision, packed once for all who ask."""
        if self.packed_as_of != self.directory.as_of or len(self.packed) >= MAX_PACKED:
            self.packed.clear()
            self.packed_as_of = self.directory.as_of
        packed = self.packed.get(after)
        if packed is None:
            changes = self.directory.changes_after(after)
            packed = self.packed[after] = pack_items(changes)
        return packed


class PeerReader:
    """Reads the directory of one peer over a kept connection.

    :ivar calls: requests sent.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls = 0
        self.streams: Streams | None = None

    async def fetch(
        self,
        *,
        after: int,
        wait_seconds: float,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> ChangesReply:
        """Ask for changes after a revision.

        :param answer_seconds: longest time for an answer beyond the wait.
        :raises PlatformUnavailableError: the peer gives no usable answer in time.
        """
        self.calls += 1
        request = ChangesRequest(after=after, wait_seconds=wait_seconds)
        try:
            async with asyncio.timeout(wait_seconds + answer_seconds):
                return await self._exchange(request)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            MalformedMessageError,
        ) as error:
            self.close()
            reason = str(error) or type(error).__name__
            address = f"{self.host}:{self.port}"
            raise PlatformUnavailableError(address=address, reason=reason) from error

    async def _exchange(self, request: ChangesRequest) -> ChangesReply:
        if is_over(self.streams):
            self.close()
            self.streams = await connect_tcp(self.host, self.port)
        reader, writer = self.streams
        writer.write(frame_message(encode_message(request)))
        await writer.drain()
        return decode_reply(await read_message(reader))

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
