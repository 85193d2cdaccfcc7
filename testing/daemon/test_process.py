"""Tests of the balancer as a process, from its settings file to its exit code."""

import asyncio
import json
import signal
import sys

import aiohttp
import pytest

from .fakes import unused_port

HOST = "127.40.5.1"
OUTER = "127.40.5.2"
PROGRAM = (sys.executable, "-c", "from daisygauge_daemon.main import run; run()")
PLATFORM = (sys.executable, "-m", "daisygauge_emulator.platform")


class Processes:
    """Starts processes that end with the test."""

    def __init__(self):
        self.started = []

    async def start(self, *command):
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        self.started.append(process)
        return process

    async def end(self):
        for process in self.started:
            if process.returncode is None:
                process.kill()
            await process.communicate()


@pytest.fixture
async def processes():
    processes = Processes()
    yield processes
    await processes.end()


async def status_of(url):
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return answer.status
    except aiohttp.ClientError:
        return None


async def wait_for_status(url, *statuses):
    while (status := await status_of(url)) not in statuses:
        await asyncio.sleep(0.05)
    return status


@pytest.fixture
async def platform(processes):
    port = unused_port(HOST)
    await processes.start(*PLATFORM, f"--host={HOST}", f"--port={port}")
    base = f"http://{HOST}:{port}"
    await wait_for_status(f"{base}/v1/health/service/daisygauge", 200)
    records = {
        "key/k": {"number": 1, "secret": "11" * 32},
        "service/order-desk": {
            "number": 1,
            "address": {"host": OUTER, "port": unused_port(OUTER)},
        },
    }
    async with aiohttp.ClientSession() as session:
        for name, spec in records.items():
            kind, id = name.split("/")
            record = {
                "kind": kind,
                "id": id,
                "schema_version": 2,
                "revision": 1,
                "deleted": False,
                "spec": spec,
            }
            url = f"{base}/v1/kv/records/{name}"
            async with session.put(url, json=record) as answer:
                answer.raise_for_status()
    return base


@pytest.fixture
def write_settings(tmp_path, platform):
    def write(**changes):
        settings = {
            "role": "balancer",
            "id": "b-1",
            "region": "erongo",
            "failure_domain": "erongo-1",
            "host": HOST,
            "inner_port": unused_port(HOST),
            "peer_port": unused_port(HOST),
            "metrics_port": unused_port(HOST),
            "platform": [platform],
        } | changes
        path = tmp_path / f"{settings['metrics_port']}.json"
        path.write_text(json.dumps(settings))
        return path, settings

    return write


async def test_a_balancer_becomes_ready_drains_on_sigterm_and_exits_0(
    processes, write_settings
):
    path, settings = write_settings()
    process = await processes.start(*PROGRAM, f"--settings={path}")
    ready = f"http://{HOST}:{settings['metrics_port']}/ready"

    await wait_for_status(ready, 200)
    process.send_signal(signal.SIGTERM)
    draining = await wait_for_status(ready, 503, None)
    output, _ = await process.communicate()

    assert draining == 503
    assert process.returncode == 0
    events = [json.loads(line)["event"] for line in output.splitlines()]
    assert events[-3:] == [101, 209, 102]


async def test_an_inner_address_that_is_taken_ends_with_exit_code_1(
    processes, write_settings
):
    path, settings = write_settings()
    first = await processes.start(*PROGRAM, f"--settings={path}")
    await wait_for_status(f"http://{HOST}:{settings['metrics_port']}/ready", 200)
    second_path, _ = write_settings(inner_port=settings["inner_port"])

    second = await processes.start(*PROGRAM, f"--settings={second_path}")
    _, errors = await second.communicate()

    assert first.returncode is None
    assert second.returncode == 1
    assert b"address" in errors
