"""Packets that arrive while a process starts are forwarded once it can route."""

import asyncio
import json
import socket

import pytest

from daisygauge_platform._packets import SYN, PlatformCodec
from daisygauge_relay import RelayBalancer
from daisygauge_relay._endpoint import Endpoint
from daisygauge_relay._exit_codes import EXIT_FAILED
from daisygauge_relay._main import run_relay
from daisygauge_relay._settings import RelayBalancerSettings
from daisygauge_relay._sockets import RoleSockets, bind_sockets

from .network import Clock, FakeRuntime, Network, pack_packet

HOST = "127.83.0.1"
INGRESS = (HOST, 8172)


def settings_document():
    return {
        "id": "balancer-1",
        "region": "r",
        "failure_domain": "a",
        "host": HOST,
        "client_address": f"{HOST}:8172",
        "ready": f"{HOST}:8167",
        "inner_ports": [7720, 7735],
        "platform": "127.83.0.9:80",
        "ingress": f"{HOST}:8172",
    }


@pytest.fixture
def settings():
    return RelayBalancerSettings(**settings_document())


@pytest.fixture
def sockets(settings):
    bound = bind_sockets(settings)
    yield bound
    bound.inner.close()
    bound.outer.close()


def send_opening(*, client_port=4_000, port=443):
    data = pack_packet(("100.64.0.1", client_port), ("198.18.0.1", port), flags=SYN)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.sendto(data, INGRESS)


class AdapterLoadError(OSError):
    """Simulates a failure to load the adapter."""


def test_sockets_receive_packets_before_the_adapter_is_loaded(tmp_path, capsys):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings_document()))
    reached = []

    def load_platform():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
            client.connect(INGRESS)
            client.send(b"1")
            # A port without a listener would refuse the second datagram.
            client.send(b"2")
        reached.append(True)
        raise AdapterLoadError("enough seen")

    code = run_relay(
        role="balancer", settings_path=str(path), load_platform=load_platform
    )

    assert reached
    assert code == EXIT_FAILED
    assert "enough seen" in capsys.readouterr().err


class StartingRuntime(FakeRuntime):
    """A runtime whose directory is complete once the test sets ``complete``."""

    def __init__(self, directory, settings):
        super().__init__(Clock(), directory, settings)
        self.complete = asyncio.Event()

    async def wait_for_configuration(self, *, seconds):
        await self.complete.wait()


async def test_packets_wait_until_there_is_a_configuration(settings, sockets):
    network = Network()
    directory = network.new_directory(HOST)
    runtime = StartingRuntime(directory, settings)
    balancer = RelayBalancer(runtime=runtime, settings=settings, codec=PlatformCodec())
    starting = asyncio.create_task(balancer.start(sockets))
    send_opening()
    await asyncio.sleep(0.05)
    assert runtime.counters.packets_in == 0

    runtime.complete.set()
    await starting
    while not runtime.counters.placed:
        await asyncio.sleep(0.01)

    assert runtime.log.names()["opening-placed"] == 1
    balancer.stop()


class EagerLoop:
    """Delivers a datagram before it reports that a socket is open, as uvloop may."""

    def __init__(self, data):
        self.data = data
        self.sent = []

    async def create_datagram_endpoint(self, factory, *, sock):
        protocol = factory()
        protocol.connection_made(self)
        protocol.datagram_received(self.data, ("router", 1))
        return self, protocol

    def sendto(self, data, address):
        self.sent.append(data)


async def test_a_packet_that_arrives_while_the_sockets_open_can_be_refused(
    settings, sockets, monkeypatch
):
    directory = Network().new_directory(HOST)
    runtime = StartingRuntime(directory, settings)
    runtime.complete.set()
    balancer = RelayBalancer(runtime=runtime, settings=settings, codec=PlatformCodec())
    unknown = pack_packet(("100.64.0.1", 4_000), ("198.18.0.1", 9_999), flags=SYN)
    loop = EagerLoop(unknown)
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: loop)

    await balancer.start(sockets)

    assert runtime.counters.refused.total() == 1
    assert len(loop.sent) == 1


async def test_an_error_for_one_datagram_does_not_stop_the_others(settings, sockets):
    received, errors = [], []

    def receive(data, sender):
        if data == b"bad":
            raise ZeroDivisionError("a defect")
        received.append(data)

    endpoint = Endpoint(receive=receive, report=errors.append)
    await endpoint.open(sockets.outer)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        for data in (b"good", b"bad", b"better"):
            client.sendto(data, INGRESS)
    while len(received) < 2:
        await asyncio.sleep(0.01)

    assert received == [b"good", b"better"]
    assert [type(error) for error in errors] == [ZeroDivisionError]
    endpoint.close()


def test_both_sockets_are_bound_to_the_addresses_of_the_settings(sockets):
    assert isinstance(sockets, RoleSockets)
    assert sockets.outer.getsockname() == INGRESS
    assert sockets.inner.getsockname() == (HOST, 7720)
