"""Small HTTP client for frequent requests to a platform over one connection."""

from __future__ import annotations

import asyncio

import httptools
from msgspec import Struct

from ._errors import PlatformUnavailableError
from ._tcp import Streams, connect_tcp

READ_BYTES = 65_536


class HttpResponse(Struct, kw_only=True, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class _ResponseParts:
    """Collects the parts of one response from the callbacks of the parser."""

    def __init__(self) -> None:
        self.body: list[bytes] = []
        self.is_complete = False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True

    def feed(self, data: bytes) -> HttpResponse | None:
        """Parse received bytes and return the response once it is complete."""
        self.parser.feed_data(data)
        if not self.is_complete:
            return None
        status = self.parser.get_status_code()
        return HttpResponse(status=status, body=b"".join(self.body))


def is_closed(streams: Streams | None) -> bool:
    """Return whether a kept connection was closed or reset since its last use."""
    if streams is None:
        return True
    reader, writer = streams
    return reader.at_eof() or writer.is_closing()


class HttpClient:
    """Sends one request at a time over a persistent connection.

    :param host: IPv4 address of the server.
    :ivar calls: number of requests that were started.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.calls = 0
        self._must_close = False
        self.streams: Streams | None = None

    async def get(self, target: str, *, timeout_seconds: float) -> HttpResponse:
        """Send a GET request.

        :param target: path with query.
        :raises PlatformUnavailableError: if no complete response arrives in time. The
            connection is then closed, so that a late response is never mistaken
            for that of another request.
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
            if self.streams is not None and self._must_close:
                self.close()

    async def _exchange(self, target: str) -> HttpResponse:
        self._must_close = True
        if is_closed(self.streams):
            self.close()
            self.streams = await connect_tcp(self.host, self.port)
        reader, writer = self.streams
        head = f"GET {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n\r\n"
        writer.write(head.encode())
        parts = _ResponseParts()
        response = None
        while response is None:
            data = await reader.read(READ_BYTES)
            if not data:
                raise EOFError("the connection closed before the response was complete")
            response = parts.feed(data)
        self._must_close = not parts.parser.should_keep_alive()
        return response

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
