"""A supervised task restarts after an unexpected error."""

import asyncio
import os

import pytest

from daisygauge_relay._log import QueuedLog
from daisygauge_relay._runtime import RelayRuntime
from daisygauge_relay._settings import RelayBalancerSettings

SETTINGS = RelayBalancerSettings(
    id="balancer-1", region="r", failure_domain="a", host="127.0.0.1",
    client_address="127.0.0.1:8172", ready="127.0.0.1:8167",
    inner_ports=(7720, 7735), platform="127.0.0.1:80", ingress="127.0.0.1:8172",
)  # fmt: skip


class FailingOnce:
    """Work that raises an error on its first run."""

    def __init__(self, error):
        self.errors = [error]
        self.done = asyncio.Event()

    async def run(self):
        if self.errors:
            raise self.errors.pop()
        self.done.set()


@pytest.fixture
async def runtime():
    descriptor = os.open(os.devnull, os.O_WRONLY)
    yield RelayRuntime(
        name="balancer", settings=SETTINGS, settings_path="/nowhere", reader=None,
        log=QueuedLog(descriptor=descriptor), incarnation=1,
    )  # fmt: skip
    os.close(descriptor)


@pytest.mark.parametrize("error", [KeyError("items"), RecursionError(), ValueError()])
async def test_a_failed_task_is_restarted(runtime, error):
    work = FailingOnce(error)

    runtime.tasks.supervise(work.run, name="directory")

    await asyncio.wait_for(work.done.wait(), 5.0)
    assert not runtime.stopping.is_set()
    assert runtime.counters.failures == {"directory": 1}


async def test_an_address_that_cannot_be_bound_ends_the_process(runtime):
    work = FailingOnce(OSError("address in use"))

    runtime.tasks.spawn(work.run(), name="peers")

    await asyncio.wait_for(runtime.stopping.wait(), 5.0)
    assert runtime.exit_code != 0
