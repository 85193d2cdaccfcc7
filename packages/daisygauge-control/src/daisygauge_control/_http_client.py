"""A small HTTP client for a platform that is asked often and over one connection."""

from __future__ import annotations

import asyncio

import httptools
from msgspec import Struct

from ._errors import PlatformUnavailableError
from ._tcp import Streams, connect_tcp

READ_BYTES = 65_536


class HttpResponse(Struct, kw_only=True, frozen=True):
    """A whole answer."""

    status: int
    body: bytes


class _AnswerParts:
    """Collects one answer as the parser finds it."""

    def __init__(self) -> None:
        self.body: list[bytes] = []
        self.is_whole = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_whole = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Take bytes in; returns the answer once it is whole."""
        self.parser.feed_data(data)
        if not self.is_whole:
            return None
        status = self.parser.get_status_code()
        return HttpResponse(status=status, body=b"".join(self.body))


def is_over(streams: Streams | None) -> bool:
    """Tell whether a kept connection was ended or reset since its last use."""
    if streams is None:
        return True
    reader, writer = streams
    return reader.at_eof() or writer.is_closing()


class HttpClient:
    """Sends one request at a time over a kept connection.

    :param host: IPv4 address of the server.
    :ivar calls: requests begun.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls = 0
        self._is_busy = False
        self.streams: Streams | None = None

    async def get(self, target: str, *, timeout_seconds: float) -> HttpResponse:
        """Send a GET request.

        :param target: path with query.
        :raises PlatformUnavailableError: no whole answer came in time. The
            connection is closed then, so that a late answer is never taken for
            that of another request.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self._exchange(target)
        except (OSError, TimeoutError, EOFError, httptools.HttpParserError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(
                address=f"{self.host}:{self.port}", reason=reason
            ) from error
        finally:
            if self.streams is not None and self._is_busy:
                self.close()

    async def _exchange(self, target: str) -> HttpResponse:
        self._is_busy = True
        if is_over(self.streams):
            self.close()
            self.streams = await connect_tcp(self.host, self.port)
        reader, writer = self.streams
        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        writer.write(head.encode())
        parts = _AnswerParts()
        answer = None
        while answer is None:
            data = await reader.read(READ_BYTES)
            if not data:
                raise EOFError("the connection ended before the answer")
            answer = parts.feed(data)
        self._is_busy = not parts.parser.should_keep_alive()
        return answer

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
