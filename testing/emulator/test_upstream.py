import asyncio
import json
import time

import pytest
from aiohttp.test_utils import TestClient, TestServer

from daisygauge_emulator._content import answer_body, digest
from daisygauge_emulator._host import Host
from daisygauge_emulator._ledger import Ledger, read_ledger


@pytest.fixture
def ledger_path(tmp_path):
    return tmp_path / "host.ledger"


@pytest.fixture
async def host(ledger_path):
    with ledger_path.open("a") as file:
        yield Host(
            id="a",
            service="order-desk",
            slots=1,
            queue_limit=0,
            cold_start_seconds=0.0,
            started=time.time(),
            ledger=Ledger(file=file),
        )


@pytest.fixture
async def client(host):
    server = TestServer(host.application())
    async with TestClient(server) as client:
        yield client


async def test_an_answer_carries_its_digest_and_service(client):
    answer = await client.get("/run?work_ms=0&size=500", headers={"X-Request-Id": "r"})

    body = await answer.read()
    assert body == answer_body("r", size=500)
    assert answer.headers["X-Digest"] == digest(body)
    assert answer.headers["X-Service"] == "order-desk"


async def test_requests_above_the_queue_limit_are_shed_and_not_in_the_ledger(
    client, ledger_path
):
    tasks = [
        asyncio.create_task(
            client.get("/run?work_ms=50", headers={"X-Request-Id": str(number)})
        )
        for number in range(4)
    ]
    answers = await asyncio.gather(*tasks)

    statuses = sorted(answer.status for answer in answers)
    runs = read_ledger(ledger_path)
    assert statuses.count(200) == len(runs)
    assert 503 in statuses
    assert {run.outcome for run in runs} == {"done"}


async def test_a_closed_connection_cancels_its_run(client, ledger_path):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await client.get("/run?work_ms=60000")

    while read_ledger(ledger_path)[0].outcome == "running":
        await asyncio.sleep(0.01)
    assert read_ledger(ledger_path)[0].outcome == "cancelled"


async def test_a_host_with_the_fault_idle_reports_no_load(client, host):
    host.running = 1
    host.record_load()
    behaviour = json.dumps({"load": "idle"})

    honest = await (await client.get("/load")).json()
    await client.put("/stand-in/behaviour", data=behaviour)
    lying = await (await client.get("/load")).json()

    assert (honest["running"], lying["running"]) == (1, 0)


async def test_a_leaving_host_ends_its_feeds_after_a_complete_event(client, host):
    answer = await client.get("/feed?interval_ms=1&from=7")

    first = await answer.content.readline()
    host.leaving = True
    rest = await answer.content.read()

    assert first.startswith(b"000000000007 ")
    assert (first + rest).endswith(b"\n")
