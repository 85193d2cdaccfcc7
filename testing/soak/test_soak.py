"""A short soak with a fixed seed, and checks of the soak's own parts."""

import asyncio

import pytest

from .faults import KINDS, make_schedule
from .injector import Injector
from .proxy import Proxy
from .regressions import REGRESSIONS
from .run import Soak

HOST = "127.47.0.1"
SEED = 2
SECONDS = 5.0
PAUSE_SECONDS = 0.8


async def test_every_promise_holds_in_a_short_soak(tmp_path):
    soak = Soak(tmp_path, seed=SEED, block=48, seconds=SECONDS, pause=PAUSE_SECONDS)

    result = await soak.play()

    assert result.broken == []
    assert result.outcomes["answered"] > 0


def test_a_seed_always_means_the_same_schedule():
    one, other = (make_schedule(7, seconds=60.0, pause=PAUSE_SECONDS) for _ in range(2))

    assert one == other
    assert one != make_schedule(8, seconds=60.0, pause=PAUSE_SECONDS)


def test_schedules_hold_series_and_every_kind_of_fault():
    faults = make_schedule(1, seconds=600.0, pause=PAUSE_SECONDS)
    gaps = [b.at - a.at for a, b in zip(faults, faults[1:], strict=False)]

    assert {fault.kind for fault in faults} == set(KINDS)
    assert any(gap < 0.1 for gap in gaps)
    assert all(hasattr(Injector, kind) for kind in KINDS)


def test_each_regression_names_its_cause():
    assert all(case.cause for case in REGRESSIONS)
    assert len({case.seed for case in REGRESSIONS}) == len(REGRESSIONS)


class Echo:
    async def serve(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()


@pytest.fixture
async def proxy():
    server = await asyncio.start_server(Echo().serve, HOST, 18_501)
    proxy = Proxy((HOST, 18_501))
    await proxy.start(HOST, 18_502)
    yield proxy
    await proxy.stop()
    server.close()


async def ask_through(proxy, *, seconds):
    reader, writer = await asyncio.open_connection(HOST, 18_502)
    try:
        writer.write(b"hello")
        async with asyncio.timeout(seconds):
            return await reader.read(5)
    except TimeoutError:
        return "silent"
    except OSError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(
    ("mode", "answer"),
    [("pass", b"hello"), ("silent", "silent"), ("one-way", "silent"), ("reset", b"")],
)
async def test_the_proxy_fails_as_it_is_told(proxy, mode, answer):
    proxy.set_mode(mode)

    # A silent connection stays silent for as long as anyone waits.
    assert await ask_through(proxy, seconds=5.0 if mode == "pass" else 0.3) == answer
