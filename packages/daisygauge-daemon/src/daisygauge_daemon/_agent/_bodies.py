"""Request bodies that can be read again, as long as they are small."""

from __future__ import annotations

from ._model import Body

LARGEST_REPLAY_BYTES = 64 * 1024


class ReplayBody:
    """Keeps what was read, so that another host can be given the same body.

    :param source: the body as the caller sends it.
    """

    def __init__(self, source: Body) -> None:
        self.source = source
        self.kept: list[bytes] = []
        self.kept_bytes = 0
        self.position = 0
        self.complete = False

    @property
    def replayable(self) -> bool:
        """True while everything that was read is kept."""
        return self.kept_bytes <= LARGEST_REPLAY_BYTES

    async def read(self) -> bytes:
        """Return the next part, or nothing at the end."""
        if self.position < len(self.kept):
            part = self.kept[self.position]
            self.position += 1
            return part
        if self.complete:
            return b""
        part = await self.source.read()
        self.complete = not part
        self.keep(part)
        return part

    def keep(self, part: bytes) -> None:
        """Keep a part unless the whole became too large."""
        self.kept_bytes += len(part)
        if not self.replayable:
            self.kept.clear()
            self.position = 0
        elif part:
            self.kept.append(part)
            self.position += 1

    async def read_whole(self) -> bytes:
        """Read a small body to its end and rewind it.

        :raises ValueError: the body is too large to be kept.
        """
        while await self.read():
            if not self.replayable:
                raise ValueError(
                    f"a body with an idempotency key has at most "
                    f"{LARGEST_REPLAY_BYTES} bytes; send a smaller one"
                )
        self.rewind()
        return b"".join(self.kept)

    def rewind(self) -> None:
        """Begin again with the first part."""
        self.position = 0
