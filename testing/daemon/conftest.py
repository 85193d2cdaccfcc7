import asyncio

import pytest
import uvloop

from daisygauge_daemon._balancer import Balancer
from daisygauge_daemon._runtime import Runtime
from daisygauge_daemon._settings import BalancerSettings
from daisygauge_records import Endpoint

from .datapath import make_service, make_upstream, make_view, open_peer
from .fakes import FakeConfigurationSource, unused_port

HOST = "127.40.1.2"
OUTER = "127.40.2.2"


@pytest.fixture
async def caller():
    peer = await open_peer("127.40.4.2")
    yield peer
    peer.transport.close()


@pytest.fixture
async def agent():
    peer = await open_peer()
    yield peer
    peer.transport.close()


@pytest.fixture
async def other_agent():
    peer = await open_peer()
    yield peer
    peer.transport.close()


@pytest.fixture
def services():
    return (
        make_service(number=1, port=4433),
        make_service(number=2, port=4434, name="pattern-library"),
    )


@pytest.fixture
def upstream(agent):
    return make_upstream(1, port=agent.endpoint.port)


@pytest.fixture
async def balancer(services, upstream):
    settings = BalancerSettings(
        role="balancer",
        id="b-1",
        region="erongo",
        failure_domain="erongo-1",
        host=HOST,
        inner_port=unused_port(HOST),
        peer_port=1,
        metrics_port=1,
        platform=(),
        outer_host=OUTER,
    )
    source = FakeConfigurationSource(make_view(*services, upstreams=[upstream]))
    runtime = Runtime(settings=settings, source=source, incarnation=9)
    balancer = Balancer(runtime=runtime)
    await balancer.start()
    while not balancer.outers:
        await asyncio.sleep(0)
    yield balancer
    await balancer.stop()
    for task in tuple(runtime.tasks):
        task.cancel()
    assert runtime.exit_code == 0


@pytest.fixture
def address():
    return Endpoint(host=OUTER, port=4433)


@pytest.fixture
def other_address():
    return Endpoint(host=OUTER, port=4434)


def pytest_asyncio_loop_factories(config, item):
    """Run the tests on the event loop that the daemons use."""
    return {"uvloop": uvloop.new_event_loop}
