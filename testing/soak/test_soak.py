"""Tests of the soak: a short run with a fixed seed, and its components."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from .faults import FAULT_KINDS, Fault, make_schedule
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

    result = await soak.run()

    assert result.violations == []
    assert result.outcomes["answered"] > 0


class FleetWithLateFlows:
    """A fleet that sends a new flow to a draining host after its drain limit."""

    def __init__(self):
        self.agent_addresses = [HOST]
        self.balancer_addresses = []
        self.violations = []
        self.lag_seconds = 0.0
        self.host = SimpleNamespace(is_unresponsive=False, is_leaving=False, offered=[])
        self.hosts = {HOST: self.host}
        self.report_violation = self.violations.append

    def publish_host(self, address, *, state):
        late = time.monotonic() + DRAIN_SECONDS + 0.5
        self.host.offered.append((late, b"client"))
        self.hosts = {HOST: None}


async def test_new_flows_after_the_drain_limit_are_reported():
    fleet = FleetWithLateFlows()
    fault = Fault(at=0.0, kind="drain_host", target=0, seconds=1.0)

    await Injector(fleet).inject(fault)

    assert len(fleet.violations) == 1


def test_same_seed_gives_same_schedule():
    one, other = (make_schedule(7, seconds=60.0, pause=PAUSE_SECONDS) for _ in range(2))

    assert one == other
    assert one != make_schedule(8, seconds=60.0, pause=PAUSE_SECONDS)


def test_schedules_contain_bursts_and_every_kind_of_fault():
    faults = make_schedule(1, seconds=600.0, pause=PAUSE_SECONDS)
    gaps = [b.at - a.at for a, b in zip(faults, faults[1:], strict=False)]

    assert {fault.kind for fault in faults} == set(FAULT_KINDS)
    assert any(gap < 0.1 for gap in gaps)
    assert all(hasattr(Injector, kind) for kind in FAULT_KINDS)


def test_each_regression_names_its_cause():
    assert all(case.cause for case in REGRESSIONS)
    assert len({case.seed for case in REGRESSIONS}) == len(REGRESSIONS)


class EchoServer:
    async def serve(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()


@pytest.fixture
async def proxy():
    server = await asyncio.start_server(EchoServer().serve, HOST, 18_501)
    proxy = Proxy((HOST, 18_501))
    await proxy.start(HOST, 18_502)
    yield proxy
    await proxy.stop()
    server.close()


async def send_through(proxy, *, seconds):
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
async def test_proxy_fails_as_its_mode_says(proxy, mode, answer):
    proxy.set_mode(mode)

    # A silent connection never answers, so a short timeout is enough.
    assert await send_through(proxy, seconds=5.0 if mode == "pass" else 0.3) == answer
