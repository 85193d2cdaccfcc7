import asyncio
import socket
from collections import Counter

import pytest

from daisygauge_emulator._spray import (
    Balancer,
    Direction,
    Faults,
    ServiceAddress,
    Sprayer,
)

HOSTS = {"a": "127.0.0.2", "b": "127.0.0.3"}


class Receiver(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = []

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.received.append((data, addr))


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def listen(host, port):
    loop = asyncio.get_running_loop()
    _, receiver = await loop.create_datagram_endpoint(Receiver, local_addr=(host, port))
    return receiver


@pytest.fixture
async def fabric():
    port = free_port()
    balancers = {id: await listen(host, port) for id, host in HOSTS.items()}
    caller = await listen("127.0.0.1", 0)
    sprayer = Sprayer(source_host="127.0.0.1", seed=1)
    sprayer.set_services([ServiceAddress(id="s", host="127.0.0.1", port=port)])
    sprayer.set_balancers(
        [Balancer(id=id, host=host, ready_url="") for id, host in HOSTS.items()]
    )
    for id in HOSTS:
        sprayer.set_live(id, live=True)
    yield sprayer, balancers, caller, ("127.0.0.1", port)
    sprayer.close()
    for receiver in [*balancers.values(), caller]:
        receiver.transport.close()


async def wait_until_forwarded(sprayer, *, datagrams):
    """Wait until datagrams are forwarded and their receivers have read them."""
    while sprayer.counters.towards_balancers < datagrams:
        await asyncio.sleep(0.001)
    # Forwarded datagrams are in the receivers' socket buffers. Each iteration of the
    # event loop reads one datagram.
    for _ in range(4 * datagrams + 10):
        await asyncio.sleep(0)


async def test_datagrams_of_one_caller_reach_all_balancers_from_one_address(fabric):
    sprayer, balancers, caller, service = fabric

    for number in range(40):
        caller.transport.sendto(bytes([number]), service)
    await wait_until_forwarded(sprayer, datagrams=40)

    sources = {addr for r in balancers.values() for _, addr in r.received}
    counts = Counter({id: len(r.received) for id, r in balancers.items()})
    assert len(sources) == 1
    assert counts.total() == 40
    assert min(counts.values()) > 0


async def test_replies_come_from_the_service_address(fabric):
    sprayer, balancers, caller, service = fabric
    caller.transport.sendto(b"ask", service)
    await wait_until_forwarded(sprayer, datagrams=1)

    receiver = next(r for r in balancers.values() if r.received)
    receiver.transport.sendto(b"answer", receiver.received[0][1])
    while not caller.received:
        await asyncio.sleep(0.001)

    assert caller.received == [(b"answer", service)]


async def test_a_withdrawn_balancer_receives_nothing(fabric):
    sprayer, balancers, caller, service = fabric

    sprayer.set_live("a", live=False)
    for _ in range(10):
        caller.transport.sendto(b"x", service)
    await wait_until_forwarded(sprayer, datagrams=10)

    assert len(balancers["a"].received) == 0
    assert len(balancers["b"].received) == 10


async def test_datagrams_of_silenced_callers_are_dropped_while_new_callers_work(fabric):
    sprayer, balancers, caller, service = fabric
    caller.transport.sendto(b"old", service)
    await wait_until_forwarded(sprayer, datagrams=1)

    silenced = sprayer.silence_callers(service="s", caller=None, direction=Direction.IN)
    caller.transport.sendto(b"old", service)
    other = await listen("127.0.0.1", 0)
    other.transport.sendto(b"new", service)
    await wait_until_forwarded(sprayer, datagrams=3)
    other.transport.close()

    received = [data for r in balancers.values() for data, _ in r.received]
    assert silenced == 1
    assert sorted(received) == [b"new", b"old"]


async def test_datagrams_to_a_cut_balancer_are_lost(fabric):
    sprayer, balancers, caller, service = fabric

    sprayer.set_faults(Faults(cuts={"a": Direction.IN}))
    for _ in range(20):
        caller.transport.sendto(b"x", service)
    await wait_until_forwarded(sprayer, datagrams=20)

    assert balancers["a"].received == []
    assert len(balancers["b"].received) + sprayer.counters.lost == 20


async def test_duplicated_datagrams_arrive_twice(fabric):
    sprayer, balancers, caller, service = fabric

    sprayer.set_faults(Faults(duplicate=1.0))
    caller.transport.sendto(b"x", service)
    await wait_until_forwarded(sprayer, datagrams=1)

    assert sum(len(r.received) for r in balancers.values()) == 2
