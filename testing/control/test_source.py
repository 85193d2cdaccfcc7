import asyncio
import contextlib
import random

import pytest
from control.fakes import make_instance, make_service, make_upstream

from daisygauge_control import (
    ConfigurationSource,
    PlatformLost,
    PlatformRegained,
)
from daisygauge_control._backoff import MAX_SECONDS, backoff_seconds
from daisygauge_control._events import ignore_event
from daisygauge_control._platform import NO_INDEX, next_index


@pytest.fixture
def events():
    return []


@pytest.fixture(autouse=True)
def no_backoff(monkeypatch):
    monkeypatch.setattr("daisygauge_control._watch.backoff_seconds", lambda *_, **__: 0)


@contextlib.asynccontextmanager
async def run_source(platform, observe=ignore_event):
    source = ConfigurationSource(reader=platform, observe=observe)
    task = asyncio.create_task(source.run())
    try:
        yield source
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.fixture
async def source(platform, events):
    async with run_source(platform, events.append) as source:
        yield source


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0)


async def test_a_change_comes_into_force_and_wakes_waiting_tasks(source, platform):
    platform.set_instances(make_instance())
    await wait_until(lambda: source.ready and source.view.instances)
    waiting = asyncio.create_task(source.wait_for_change(after=source.view.version))

    platform.publish(make_service())

    async with asyncio.timeout(10):
        view = await waiting
    assert list(view.services) == ["order-desk"]


async def test_a_source_is_not_ready_before_the_platform_answers(platform):
    platform.fail()
    async with run_source(platform) as source:
        await wait_until(lambda: len(platform.reads) > 4)

        assert not source.ready

        platform.fail(False)
        await wait_until(lambda: source.ready)


async def test_an_outage_keeps_the_last_valid_state(source, platform, events):
    platform.publish(make_service())
    await wait_until(lambda: source.view.services)

    platform.fail()
    await wait_until(lambda: any(isinstance(e, PlatformLost) for e in events))

    assert list(source.view.services) == ["order-desk"]
    assert source.ready

    platform.publish(make_upstream())
    platform.fail(False)
    await wait_until(lambda: source.view.upstreams)
    assert any(isinstance(event, PlatformRegained) for event in events)


async def test_a_restarted_platform_with_a_lower_index_is_followed(source, platform):
    for revision in range(1, 6):
        platform.publish(make_upstream(revision=revision))
    await wait_until(lambda: source.view.upstreams)

    platform.restart()
    platform.publish(make_upstream(slots=3, revision=6))

    await wait_until(lambda: source.view.upstreams["order-desk"][0].slots == 3)


async def test_the_reader_is_closed_at_the_end(platform):
    async with run_source(platform) as source:
        await wait_until(lambda: source.ready)

    assert platform.closed


@pytest.mark.parametrize(
    ("after", "seen", "expected"),
    [(5, 6, 6), (5, 5, 5), (5, 3, NO_INDEX), (0, 0, NO_INDEX), (0, 3, 3)],
)
def test_an_index_that_goes_backwards_is_reset(after, seen, expected):
    assert next_index(after=after, seen=seen) == expected


def test_backoff_grows_up_to_its_maximum_and_is_never_zero():
    rng = random.Random(1)
    waits = [backoff_seconds(failures, rng=rng) for failures in range(1, 40)]

    assert all(0.1 <= wait <= MAX_SECONDS for wait in waits)
    assert min(waits[10:]) >= MAX_SECONDS / 2
    assert len(set(waits)) == len(waits)
