import asyncio
import os
import signal

import aiohttp
import aiomisc
import pytest

from daisygauge_control import ConfigurationView
from daisygauge_daemon._runtime import (
    EXIT_FAILED,
    EXIT_STOPPED,
    Runtime,
    new_incarnation,
    run_role,
)
from daisygauge_daemon._settings import BalancerSettings

from .fakes import FakeConfigurationSource, unused_port

HOST = "127.40.1.1"


class RecordingRole:
    """Records the calls that the runtime makes."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.calls = []
        self.may_finish = asyncio.Event()

    async def start(self):
        self.calls.append("start")

    async def drain(self):
        self.calls.append(f"drain, ready {self.runtime.readiness.ready}")
        await self.may_finish.wait()

    async def stop(self):
        self.calls.append("stop")


@pytest.fixture
def runtime():
    settings = BalancerSettings(
        role="balancer",
        id="b-1",
        region="erongo",
        failure_domain="erongo-1",
        host=HOST,
        inner_port=7000,
        peer_port=7001,
        metrics_port=unused_port(HOST),
        platform=(),
    )
    return Runtime(settings=settings, source=FakeConfigurationSource(), incarnation=1)


async def get(runtime, path):
    url = f"http://{HOST}:{runtime.settings.metrics_port}{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as answer:
        return answer.status, await answer.text()


@pytest.fixture
async def running(runtime):
    role = RecordingRole(runtime)
    async with aiomisc.entrypoint(
        runtime.operations_service(), log_config=False, catch_signals=()
    ):
        task = asyncio.create_task(run_role(role=role, runtime=runtime))
        while not role.calls:
            await asyncio.sleep(0)
        yield role, task
        role.may_finish.set()
        runtime.stopping.set()
        await task


async def test_a_daemon_is_ready_once_it_has_a_configuration(runtime, running):
    before, _ = await get(runtime, "/ready")

    await runtime.source.publish(ConfigurationView(version=1))
    while not runtime.readiness.ready:
        await asyncio.sleep(0)

    after, _ = await get(runtime, "/ready")
    assert (before, after) == (503, 200)
    assert (await get(runtime, "/live"))[0] == 200
    assert "daisygauge_ready 1.0" in (await get(runtime, "/metrics"))[1]


async def test_a_stop_signal_makes_a_daemon_not_ready_then_drains_and_closes_it(
    runtime, running
):
    role, task = running

    os.kill(os.getpid(), signal.SIGTERM)
    await runtime.stopping.wait()
    while len(role.calls) < 2:
        await asyncio.sleep(0)
    status, _ = await get(runtime, "/ready")
    role.may_finish.set()

    assert await task == EXIT_STOPPED
    assert status == 503
    assert role.calls == ["start", "drain, ready False", "stop"]


async def test_an_unexpected_error_in_a_task_stops_the_daemon(runtime, running):
    role, task = running
    role.may_finish.set()

    async def fail():
        raise RuntimeError("broken")

    runtime.spawn(fail(), name="broken")

    assert await task == EXIT_FAILED


def test_a_later_start_has_the_higher_incarnation():
    first = new_incarnation(now=1_800_000_000.0)
    second = new_incarnation(now=1_800_000_000.2)

    assert 0 < first < second <= 0xFFFFFFFF
