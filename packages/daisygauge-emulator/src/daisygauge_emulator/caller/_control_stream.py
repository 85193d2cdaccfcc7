"""Parses GOAWAY frames on the HTTP/3 control stream, which aioquic ignores."""

from __future__ import annotations

from aioquic.buffer import Buffer, BufferReadError
from aioquic.h3.connection import FrameType, StreamType

_SERVER_UNIDIRECTIONAL = 0x3
MAX_BUFFERED_BYTES = 65_536


def is_server_unidirectional(stream_id: int) -> bool:
    """Return whether a stream may be the server's control stream."""
    return stream_id & 0x3 == _SERVER_UNIDIRECTIONAL


class GoawayParser:
    """Parses the server's control stream (RFC 9114, 6.2.1 and 7.2.6).

    :ivar ignored: ids of unidirectional streams of other types.
    """

    def __init__(self) -> None:
        self.buffers: dict[int, bytes] = {}
        self.control_stream: int | None = None
        self.ignored: set[int] = set()

    def feed(self, stream_id: int, data: bytes) -> list[int]:
        """Process data of a unidirectional stream.

        :return: stream IDs in the GOAWAY frames that this data completes.
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
        """Parse the type of a stream and return whether it is the control stream."""
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
        """Parse the complete frames that are buffered; return the IDs of GOAWAYs."""
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
