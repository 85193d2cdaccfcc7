"""The HTTP server of readiness and metrics pages."""

import asyncio

import pytest

from daisygauge_relay._pages import MAX_REQUEST_BYTES, Page, serve_pages


@pytest.fixture
async def connection():
    server = await serve_pages(
        host="127.0.0.1", port=0, pages={"/ready": lambda: Page(status=200)}
    )
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    yield reader, writer
    writer.close()
    server.close()


async def test_a_page_is_answered(connection):
    reader, writer = connection
    writer.write(b"GET /ready HTTP/1.1\r\n\r\n")

    assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"


async def test_a_request_over_the_limit_is_not_answered(connection):
    reader, writer = connection
    filler = b"x-filler: " + b"a" * MAX_REQUEST_BYTES
    head = b"GET /ready HTTP/1.1\r\nConnection: close\r\n"
    writer.write(head + filler + b"\r\n\r\n")

    assert await reader.read() == b""
