"""Request bodies that can be read again while they are small."""

from __future__ import annotations

from ._model import Body

MAX_REPLAY_BYTES = 64 * 1024


class ReplayBody:
    """Buffers a small body, so that it can be sent again to another host.

    :param source: body as the caller sends it.
    :ivar bytes_read: bytes read from the source, buffered or not.
    :ivar position: index of the buffered part that is read next.
    """

    def __init__(self, source: Body) -> None:
        self.source = source
        self.buffered_parts: list[bytes] = []
        self.bytes_read = 0
        self.position = 0
        self.complete = False

    @property
    def replayable(self) -> bool:
        """True while everything read so far is buffered."""
        return self.bytes_read <= MAX_REPLAY_BYTES

    async def read(self) -> bytes:
        """Return the next part, or ``b""`` at the end."""
        if self.position < len(self.buffered_parts):
            part = self.buffered_parts[self.position]
            self.position += 1
            return part
        if self.complete:
            return b""
        part = await self.source.read()
        self.complete = not part
        self.buffer(part)
        return part

    def buffer(self, part: bytes) -> None:
        """Buffer a part, or drop the buffer once the body is too large."""
        self.bytes_read += len(part)
        if not self.replayable:
            self.buffered_parts.clear()
            self.position = 0
        elif part:
            self.buffered_parts.append(part)
            self.position += 1

    async def read_whole(self) -> bytes:
        """Read a small body to its end, rewind it and return it.

        :raises ValueError: the body is larger than ``MAX_REPLAY_BYTES``.
        """
        while await self.read():
            if not self.replayable:
                raise ValueError(
                    f"a body with an idempotency key has at most "
                    f"{MAX_REPLAY_BYTES} bytes; send a smaller one"
                )
        self.rewind()
        return b"".join(self.buffered_parts)

    def rewind(self) -> None:
        """Continue reading at the first part."""
        self.position = 0
