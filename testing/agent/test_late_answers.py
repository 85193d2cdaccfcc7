"""A duplicate answer of the upstream must not reach the next caller."""

import asyncio

import pytest

from daisygauge_daemon._agent._model import Answered, Request
from daisygauge_daemon._agent._upstream import UpstreamClient
from daisygauge_records import Endpoint, RequestClass

LATE_SECONDS = 0.05


class DuplicatingServer:
    """Sends each answer twice, the second time ``late_seconds`` later."""

    def __init__(self, *, late_seconds):
        self.late_seconds = late_seconds
        self.paths = []
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return Endpoint(host=host, port=port)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split()[1]
                self.paths.append(path)
                body = f"answer to {path}".encode()
                answer = (
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                ) + body
                writer.write(answer)
                await asyncio.sleep(self.late_seconds)
                writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class FakeAnswer:
    def __init__(self):
        self.body = b""

    async def send_head(self, *, status, headers):
        self.status = status

    async def send_body(self, part):
        self.body += part

    async def send_end(self):
        pass


class FakeBody:
    async def read(self):
        return b""


def make_request(path, *, now):
    return Request(
        id=path,
        method="GET",
        path=path,
        headers=(),
        caller="100.64.0.1",
        request_class=RequestClass(name="lookup"),
        arrived=now,
        deadline=now + 2.0,
    )


@pytest.fixture(params=[0.0, LATE_SECONDS])
async def server(request):
    server = DuplicatingServer(late_seconds=request.param)
    server.endpoint = await server.start()
    yield server
    server.server.close()


@pytest.mark.parametrize("pause_seconds", [0.0, 2 * LATE_SECONDS])
async def test_a_late_duplicate_answer_never_reaches_the_next_caller(
    server, pause_seconds
):
    loop = asyncio.get_running_loop()
    client = UpstreamClient(endpoint=server.endpoint, now=loop.time)
    bodies = []
    for number in range(5):
        answer = FakeAnswer()
        request = make_request(f"/{number}", now=loop.time())
        outcome = await client.run(request, body=FakeBody(), answer=answer)
        if isinstance(outcome, Answered):
            bodies.append((number, answer.body))
        await asyncio.sleep(pause_seconds)
    await client.close()

    assert bodies
    assert [body for _, body in bodies] == [
        b"answer to /%d" % number for number, _ in bodies
    ]
