import asyncio
import json

import pytest
from aiohttp.test_utils import TestClient, TestServer

from daisygauge_emulator.platform import Platform, parse_wait

RECORDS = "/v1/kv/records"


@pytest.fixture
async def client():
    async with TestClient(TestServer(Platform().application())) as client:
        yield client


async def read_index(client):
    answer = await client.get(RECORDS, params={"recurse": "true"})
    return int(answer.headers["X-Consul-Index"])


async def test_a_query_without_records_returns_404_with_an_index(client):
    answer = await client.get(RECORDS, params={"recurse": "true"})

    assert answer.status == 404
    assert int(answer.headers["X-Consul-Index"]) >= 1


async def test_a_blocking_query_returns_at_the_next_change(client):
    index = await read_index(client)
    query = {"recurse": "true", "index": str(index), "wait": "30s"}

    watch = asyncio.create_task(client.get(RECORDS, params=query))
    await client.put(f"{RECORDS}/key/a", data=b"{}")
    answer = await watch

    assert [entry["Key"] for entry in await answer.json()] == ["records/key/a"]
    assert int(answer.headers["X-Consul-Index"]) > index


async def test_a_blocking_query_without_a_change_returns_after_its_wait(client):
    await client.put(f"{RECORDS}/key/a", data=b"{}")
    index = await read_index(client)

    query = {"recurse": "true", "index": str(index), "wait": "10ms"}
    answer = await client.get(RECORDS, params=query)

    assert int(answer.headers["X-Consul-Index"]) == index


async def test_a_stale_platform_hides_later_changes(client):
    await client.put("/stand-in/faults", data=json.dumps({"stale": True}))

    await client.put(f"{RECORDS}/key/a", data=b"{}")
    hidden = await client.get(f"{RECORDS}/key/a")
    await client.put("/stand-in/faults", data=json.dumps({"stale": False}))
    seen = await client.get(f"{RECORDS}/key/a")

    assert (hidden.status, seen.status) == (404, 200)


async def test_an_unknown_fault_is_rejected_with_a_list_of_known_faults(client):
    answer = await client.put("/stand-in/faults", data=json.dumps({"slow": True}))

    assert answer.status == 400
    assert "list_lag_seconds" in await answer.text()


@pytest.mark.parametrize(
    ("text", "seconds"), [("500ms", 0.5), ("30s", 30.0), ("1m", 60.0)]
)
def test_consul_durations_are_parsed(text, seconds):
    assert parse_wait(text) == seconds
