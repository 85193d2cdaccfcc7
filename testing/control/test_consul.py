import base64

import pytest
from aiohttp import web
from control.fakes import make_document

from daisygauge_control import ConsulReader, PlatformUnavailableError
from daisygauge_records import Endpoint, Instance, Role

HOST = "127.20.0.1"
ENTRY = {
    "Node": {"Node": "b1", "Datacenter": "erongo"},
    "Service": {
        "ID": "b1",
        "Address": "10.0.2.1",
        "Port": 7000,
        "Tags": ["balancer"],
        "Meta": {
            "peer_port": "7001",
            "failure_domain": "erongo-1",
            "leaving": "true",
        },
    },
    "Checks": [],
}


class Server:
    """Answers every request with the answer that the test has set."""

    def __init__(self):
        self.queries = []
        self.answer = {"status": 404, "headers": {"X-Consul-Index": "3"}}
        self.address = ""

    async def handle(self, request):
        self.queries.append((request.path, dict(request.query)))
        return web.json_response(
            self.answer.get("json"),
            status=self.answer.get("status", 200),
            headers=self.answer.get("headers", {"X-Consul-Index": "7"}),
        )


@pytest.fixture
async def server():
    server = Server()
    app = web.Application()
    app.router.add_get("/{path:.*}", server.handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = runner.addresses[0][1]
    server.address = f"http://{HOST}:{port}"
    yield server
    await runner.cleanup()


@pytest.fixture
async def reader(server):
    reader = ConsulReader(addresses=[server.address], wait_seconds=1)
    yield reader
    await reader.close()


async def test_records_are_decoded(reader, server):
    document = make_document("service", "a", {})
    value = base64.b64encode(document).decode()
    server.answer = {"json": [{"Key": "records/service/a", "Value": value}]}

    snapshot = await reader.read_records(after=0)

    assert snapshot.index == 7
    assert snapshot.records[0].document == document
    assert server.queries == [("/v1/kv/records", {"recurse": "true"})]


async def test_an_invalid_base64_value_does_not_affect_other_records(reader, server):
    server.answer = {
        "json": [
            {"Key": "records/key/a", "Value": "%%"},
            {"Key": "records/key/b", "Value": "e30="},
        ]
    }

    snapshot = await reader.read_records(after=0)

    assert [record.document for record in snapshot.records] == [b"", b"{}"]


async def test_a_watch_sends_its_index_and_wait_time(reader, server):
    await reader.read_records(after=5)

    assert server.queries[0][1] == {"recurse": "true", "index": "5", "wait": "1s"}


async def test_an_empty_platform_is_a_valid_answer(reader):
    snapshot = await reader.read_records(after=0)

    assert (snapshot.index, snapshot.records) == (3, ())


async def test_instances_are_decoded_and_malformed_entries_skipped(reader, server):
    server.answer = {"json": [ENTRY, {"Node": 5}, {**ENTRY, "Service": {}}]}

    snapshot = await reader.read_instances(after=0)

    assert snapshot.skipped == 2
    assert snapshot.instances == (
        Instance(
            id="b1",
            role=Role.BALANCER,
            inner=Endpoint(host="10.0.2.1", port=7000),
            peer_port=7001,
            region="erongo",
            failure_domain="erongo-1",
            leaving=True,
        ),
    )


@pytest.mark.parametrize(
    "answer",
    [
        {"status": 500},
        {"headers": {}},
        {"headers": {"X-Consul-Index": "x"}},
        {"json": {"a": 1}},
        {"json": [1]},
    ],
)
async def test_a_malformed_answer_raises_platform_unavailable(reader, server, answer):
    server.answer = answer

    with pytest.raises(PlatformUnavailableError, match="check that it runs"):
        await reader.read_records(after=0)


async def test_the_next_server_is_tried_after_a_failure(server):
    reader = ConsulReader(addresses=[f"http://{HOST}:1", server.address])

    with pytest.raises(PlatformUnavailableError):
        await reader.read_records(after=0)
    snapshot = await reader.read_records(after=0)
    await reader.close()

    assert snapshot.index == 3
