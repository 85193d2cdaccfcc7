"""Finds GOAWAY on the HTTP/3 control stream, which aioquic does not report."""

from __future__ import annotations

from aioquic.buffer import Buffer, BufferReadError
from aioquic.h3.connection import FrameType, StreamType

_SERVER_UNIDIRECTIONAL = 0x3
MAX_BUFFERED_BYTES = 65_536


def is_server_unidirectional(stream_id: int) -> bool:
    """Tell whether a stream may be the server's control stream."""
    return stream_id & 0x3 == _SERVER_UNIDIRECTIONAL


class GoawayFinder:
    """Reads frames off the server's control stream (RFC 9114, 6.2.1 and 7.2.6)."""

    def __init__(self) -> None:
        self.buffers: dict[int, bytes] = {}
        self.control_stream: int | None = None
        self.ignored: set[int] = set()

    def feed(self, stream_id: int, data: bytes) -> list[int]:
        """Take data of a unidirectional stream.

        :return: stream IDs that newly complete GOAWAY frames carry.
        """
        if stream_id in self.ignored:
            return []
        self.buffers[stream_id] = self.buffers.get(stream_id, b"") + data
        if self.control_stream is None and not self.read_type(stream_id):
            return []
        if stream_id != self.control_stream:
            return []
        return self.read_frames(stream_id)

    def read_type(self, stream_id: int) -> bool:
        """Read the type of a stream; False unless it is the control stream."""
        buffer = Buffer(data=self.buffers[stream_id])
        try:
            stream_type = buffer.pull_uint_var()
        except BufferReadError:
            return False
        self.buffers[stream_id] = self.buffers[stream_id][buffer.tell() :]
        if stream_type != StreamType.CONTROL:
            self.ignored.add(stream_id)
            del self.buffers[stream_id]
            return False
        self.control_stream = stream_id
        return True

    def read_frames(self, stream_id: int) -> list[int]:
        """Read the whole frames that have arrived."""
        found = []
        while True:
            buffer = Buffer(data=self.buffers[stream_id])
            try:
                frame_type = buffer.pull_uint_var()
                payload = buffer.pull_bytes(buffer.pull_uint_var())
            except BufferReadError:
                return found
            self.buffers[stream_id] = self.buffers[stream_id][buffer.tell() :]
            if frame_type == FrameType.GOAWAY:
                found.append(Buffer(data=payload).pull_uint_var())
