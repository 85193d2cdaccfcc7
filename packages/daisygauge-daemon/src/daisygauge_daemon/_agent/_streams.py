"""One request stream of a caller's connection: its body and its answer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from aioquic.h3.connection import ErrorCode, H3Connection

from daisygauge_wire import RoutedConnection

from ._model import Headers

MAX_UNSENT_BYTES = 256 * 1024


class StreamConnection(Protocol):
    """Interface of the connection that a stream belongs to."""

    quic: RoutedConnection
    http: H3Connection

    def wake_up(self) -> None:
        """Send pending packets soon."""


class RequestStream:
    """Reads a request's body and writes its answer, with backpressure both ways.

    :param connection: connection that the stream belongs to.
    :ivar started: True once the head of the answer was written.
    :ivar ended: True once the answer is complete or the stream was reset.
    :ivar unread_bytes: received bytes of the body that were not read yet.
    """

    def __init__(self, *, connection: StreamConnection, stream_id: int) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.started = False
        self.ended = False
        self.parts: deque[bytes] = deque()
        self.unread_bytes = 0
        self.body_ended = False
        self.readable = asyncio.Event()
        self.writable = asyncio.Event()

    def feed(self, part: bytes, *, ended: bool) -> None:
        """Add a part of the body that the connection received."""
        if part:
            self.parts.append(part)
            self.unread_bytes += len(part)
            self.connection.quic.unread_bytes[self.stream_id] = self.unread_bytes
        self.body_ended = self.body_ended or ended
        self.readable.set()

    async def read(self) -> bytes:
        """Return the next part of the body, or ``b""`` at its end."""
        while not self.parts and not self.body_ended:
            self.readable.clear()
            await self.readable.wait()
        if not self.parts:
            return b""
        part = self.parts.popleft()
        self.unread_bytes -= len(part)
        self.connection.quic.unread_bytes[self.stream_id] = self.unread_bytes
        self.connection.wake_up()
        return part

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the status and the header fields."""
        fields = [(b":status", str(status).encode()), *headers]
        self.started = True
        self.connection.http.send_headers(self.stream_id, fields)
        self.connection.wake_up()

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body; wait while too much of it is unsent."""
        self.connection.http.send_data(self.stream_id, part, end_stream=False)
        self.connection.wake_up()
        while self.is_full():
            self.writable.clear()
            await self.writable.wait()

    async def send_end(self) -> None:
        """Mark the answer as complete."""
        self.ended = True
        self.connection.http.send_data(self.stream_id, b"", end_stream=True)
        self.stop_reading()
        self.connection.wake_up()

    def is_full(self) -> bool:
        """Return whether more than ``MAX_UNSENT_BYTES`` wait to be sent."""
        unsent = self.connection.quic.unacknowledged_bytes(self.stream_id)
        return unsent > MAX_UNSENT_BYTES

    def resume(self) -> None:
        """Wake a waiting writer once the stream is no longer full."""
        if not self.writable.is_set() and not self.is_full():
            self.writable.set()

    def reset(self, error: ErrorCode) -> None:
        """Reset the stream, so that the caller can't take its answer as complete."""
        self.ended = True
        self.stop_reading()
        if self.connection.quic.can_send(self.stream_id):
            self.connection.quic.reset_stream(self.stream_id, error)
        self.connection.wake_up()

    def stop_reading(self) -> None:
        """Send STOP_SENDING, so that the caller sends no more of the body."""
        if self.body_ended or not self.connection.quic.can_send(self.stream_id):
            return
        self.connection.quic.stop_stream(self.stream_id, ErrorCode.H3_NO_ERROR)

    def discard_unread(self) -> None:
        """Discard the unread body of the stream."""
        self.parts.clear()
        self.connection.quic.unread_bytes.pop(self.stream_id, None)
