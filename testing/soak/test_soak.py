"""A short soak with a fixed seed, and checks of the soak's own parts."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from .faults import KINDS, Fault, make_schedule
from .injector import DRAIN_SECONDS, Injector
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


class LeavingHosts:
    """A fleet that goes on offering flows to a host that has left."""

    def __init__(self):
        self.agent_addresses = [HOST]
        self.balancer_addresses = []
        self.broken = []
        self.lag = 0.0
        self.host = SimpleNamespace(is_dark=False, is_leaving=False, offered=[])
        self.hosts = {HOST: self.host}
        self.report = self.broken.append

    def publish_host(self, address, *, state):
        late = time.monotonic() + DRAIN_SECONDS + 0.5
        self.host.offered.append((late, b"client"))
        self.hosts = {HOST: None}


async def test_a_host_that_gets_flows_after_it_left_is_reported():
    fleet = LeavingHosts()
    fault = Fault(at=0.0, kind="drain_host", target=0, seconds=1.0)

    await Injector(fleet).strike(fault)

    assert len(fleet.broken) == 1


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
