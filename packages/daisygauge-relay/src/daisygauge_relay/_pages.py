"""A small HTTP server for the readiness and metrics pages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools
from msgspec import Struct

from daisygauge_control import listen_tcp

MAX_REQUEST_BYTES = 8_192
"""A longer request closes the connection: requests for a page have no body and few
headers."""


class Page(Struct, kw_only=True, frozen=True):
    """The response to a request for a path."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


GetPage = Callable[[], Page]
_REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
NOT_FOUND = Page(status=404)


def format_response(page: Page, *, keep_alive: bool) -> bytes:
    """Return the bytes of a response."""
    connection = "keep-alive" if keep_alive else "close"
    head = (
        f"HTTP/1.1 {page.status} {_REASONS[page.status]}\r\n"
        f"Content-Type: {page.content_type}\r\n"
        f"Content-Length: {len(page.body)}\r\n"
        f"Connection: {connection}\r\n\r\n"
    )
    return head.encode() + page.body


class PageConnection(asyncio.Protocol):
    """Answers the requests of one connection.

    :param pages: function that creates the page of each path.
    """

    def __init__(self, pages: dict[str, GetPage]) -> None:
        self.pages = pages
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.received = 0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of a request."""
        self.received += len(data)
        if self.received > MAX_REQUEST_BYTES:
            self.transport.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request's target."""
        self.url += url

    def on_message_complete(self) -> None:
        """Answer the request."""
        path = self.url.decode("latin-1").partition("?")[0]
        self.url = b""
        self.received = 0
        page = self.pages.get(path, lambda: NOT_FOUND)()
        keep_alive = self.parser.should_keep_alive()
        self.transport.write(format_response(page, keep_alive=keep_alive))
        if not keep_alive:
            self.transport.close()


async def serve_pages(
    *, host: str, port: int, pages: dict[str, GetPage]
) -> asyncio.Server:
    """Serve pages at an address.

    :param pages: function that creates the page of each path.
    :return: the running server.
    :raises OSError: the address can't be bound.
    """
    loop = asyncio.get_running_loop()
    bound = listen_tcp(host, port)
    return await loop.create_server(lambda: PageConnection(pages), sock=bound)
