"""One request stream of a caller's connection: its body and its answer."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from aioquic.h3.connection import ErrorCode, H3Connection

from daisygauge_wire import RoutedConnection

from ._model import Headers

MAX_UNSENT_BYTES = 256 * 1024


class Wakeable(Protocol):
    """The connection that a stream belongs to."""

    quic: RoutedConnection
    http: H3Connection

    def wake_up(self) -> None:
        """Send what is due soon."""


class RequestStream:
    """Reads a request's body and writes its answer, with backpressure both ways.

    :param connection: the connection that the stream belongs to.
    :ivar started: True once the head of the answer was written.
    """

    def __init__(self, *, connection: Wakeable, stream_id: int) -> None:
        self.connection = connection
        self.stream_id = stream_id
        self.started = False
        self.ended = False
        self.parts: deque[bytes] = deque()
        self.unread = 0
        self.body_ended = False
        self.readable = asyncio.Event()
        self.writable = asyncio.Event()

    def feed(self, part: bytes, *, ended: bool) -> None:
        """Take a part of the body from the connection."""
        if part:
            self.parts.append(part)
            self.unread += len(part)
            self.connection.quic.unread_bytes[self.stream_id] = self.unread
        self.body_ended = self.body_ended or ended
        self.readable.set()

    async def read(self) -> bytes:
        """Return the next part of the body, or nothing at its end."""
        while not self.parts and not self.body_ended:
            self.readable.clear()
            await self.readable.wait()
        if not self.parts:
            return b""
        part = self.parts.popleft()
        self.unread -= len(part)
        self.connection.quic.unread_bytes[self.stream_id] = self.unread
        self.connection.wake_up()
        return part

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the status and the header fields."""
        fields = [(b":status", str(status).encode()), *headers]
        self.started = True
        self.connection.http.send_headers(self.stream_id, fields)
        self.connection.wake_up()

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body; wait while the caller has not taken the last."""
        self.connection.http.send_data(self.stream_id, part, end_stream=False)
        self.connection.wake_up()
        while self.is_full():
            self.writable.clear()
            await self.writable.wait()

    async def send_end(self) -> None:
        """Mark the answer as whole."""
        self.ended = True
        self.connection.http.send_data(self.stream_id, b"", end_stream=True)
        self.stop_reading()
        self.connection.wake_up()

    def is_full(self) -> bool:
        """Tell whether the caller has to take data before more is written."""
        unsent = self.connection.quic.unsent_bytes(self.stream_id)
        return unsent > MAX_UNSENT_BYTES

    def resume(self) -> None:
        """Let a waiting writer go on once the caller has taken enough."""
        if not self.writable.is_set() and not self.is_full():
            self.writable.set()

    def reset(self, error: ErrorCode) -> None:
        """End the stream so that the caller can't take its answer for whole."""
        self.ended = True
        self.stop_reading()
        if self.connection.quic.can_send(self.stream_id):
            self.connection.quic.reset_stream(self.stream_id, error)
        self.connection.wake_up()

    def stop_reading(self) -> None:
        """Ask the caller to send no more of the body."""
        if self.body_ended or not self.connection.quic.can_send(self.stream_id):
            return
        self.connection.quic.stop_stream(self.stream_id, ErrorCode.H3_NO_ERROR)

    def forget(self) -> None:
        """Drop what was kept for the stream."""
        self.parts.clear()
        self.connection.quic.unread_bytes.pop(self.stream_id, None)
