"""Unexpected datagrams, and balancers and callers that fail silently."""

import asyncio
import os
import random

from daisygauge_records import Endpoint
from daisygauge_wire import (
    Datagram,
    Kind,
    PlacementStatus,
    Route,
    derive_reset_token,
    encode_connection_id,
)

from .fakes import HOST, KEYS
from .test_drain import wait_until

CALLER = Endpoint(host=HOST, port=9)
KEY = KEYS.newest(now=1.0)


def make_packet(agent, *, incarnation, service=3):
    route = Route(agent=agent.node.inner, service=service, incarnation=incarnation)
    connection_id = encode_connection_id(route=route, key=KEY)
    return connection_id, b"\x40" + connection_id + os.urandom(60)


def collect_replies(balancer):
    replies = []
    balancer.send_to_caller = lambda packet, caller: replies.append(packet)
    return replies


def forward(balancer, agent, payload, *, service=3, incarnation=0):
    datagram = Datagram(
        kind=Kind.FORWARD,
        service=service,
        incarnation=incarnation,
        caller=CALLER,
        address=Endpoint(host=HOST, port=443),
        sender=balancer.inner_endpoint,
        payload=payload,
    )
    balancer.send(datagram, agent.node.inner)


async def test_a_packet_for_an_earlier_incarnation_gets_a_stateless_reset(fleet):
    await fleet.open()
    (agent,), balancer = fleet.agents, fleet.balancers[0]
    replies = collect_replies(balancer)
    old = agent.node.incarnation - 1
    connection_id, packet = make_packet(agent, incarnation=old)

    forward(balancer, agent, packet, incarnation=old)
    await wait_until(lambda: replies)

    assert replies[0].endswith(derive_reset_token(connection_id, key=KEY))
    assert len(replies[0]) < len(packet)


async def test_a_connection_id_of_another_agent_is_not_reset(fleet):
    await fleet.open(agents=2)
    balancer = fleet.balancers[0]
    replies = collect_replies(balancer)
    agent, other = fleet.agents
    _, packet = make_packet(other, incarnation=other.node.incarnation)

    forward(balancer, agent, packet)
    await asyncio.sleep(0.2)

    assert replies == []


async def test_a_first_flight_for_another_service_opens_no_connection(fleet):
    await fleet.open()
    (agent,), balancer = fleet.agents, fleet.balancers[0]
    flight = b"\xc0\x00\x00\x00\x01\x08" + b"12345678" + bytes(1200)

    forward(balancer, agent, flight, service=4)
    await wait_until(lambda: balancer.statuses)

    assert balancer.statuses == [PlacementStatus.WRONG_SERVICE]
    assert len(agent.table) == 0


async def test_an_unknown_version_is_negotiated(fleet):
    await fleet.open()
    (agent,), balancer = fleet.agents, fleet.balancers[0]
    replies = collect_replies(balancer)
    flight = b"\xc0\x1a\x2a\x3a\x4a\x08" + b"12345678" + b"\x04abcd" + bytes(1200)

    forward(balancer, agent, flight)
    await wait_until(lambda: replies)

    assert replies[0][1:5] == bytes(4)
    assert b"\x00\x00\x00\x01" in replies[0]


async def test_malformed_datagrams_do_not_affect_open_connections(fleet):
    await fleet.open()
    (agent,), balancer = fleet.agents, fleet.balancers[0]
    target = (agent.node.inner.host, agent.node.inner.port)
    rng = random.Random(7)

    async with fleet.caller() as caller:
        feed = caller.start("GET", "/feed?interval_ms=5&count=60")
        await feed.progress.wait()
        for _ in range(300):
            data = rng.randbytes(rng.randrange(0, 200))
            balancer.inner.sendto(data, target)
            forward(balancer, agent, data)
            forward(balancer, agent, b"\xc0\x00\x00\x00\x01" + data)
        await asyncio.wait_for(feed.done.wait(), 10)

    assert feed.complete
    assert len(feed.body) == 60 * 9
    assert agent.runtime.exit_code == 0


async def test_a_feed_continues_when_return_balancers_die_while_its_caller_is_silent(
    fleet,
):
    await fleet.open(balancers=3)

    async with fleet.caller() as caller:
        feed = caller.start("GET", "/feed?interval_ms=20")
        await feed.progress.wait()
        for dead in fleet.balancers[:2]:
            dead.alive = False
        fleet.fabric.balancers = fleet.balancers[2:]
        received = len(feed.body)
        await wait_until(lambda: len(feed.body) > received + 20 * 9)
        body = bytes(feed.body)

    numbers = [int(line) for line in body.split()]
    assert numbers == list(range(len(numbers)))


async def test_the_feed_of_an_unreachable_caller_is_closed(fleet):
    await fleet.open()
    (agent,) = fleet.agents
    agent.acceptor.configuration.idle_timeout = 1.0

    async with fleet.caller() as caller:
        feed = caller.start("GET", "/feed")
        await feed.progress.wait()
        for balancer in fleet.balancers:
            balancer.send_to_caller = lambda packet, caller: None
            balancer.on_packet = lambda data, addr: None
        await wait_until(lambda: fleet.upstreams[0].ended)

    assert len(agent.table) == 0


async def test_a_late_copy_of_a_first_flight_opens_no_second_connection(fleet):
    await fleet.open()
    (agent,) = fleet.agents
    packets = []
    balancer = fleet.balancers[1]
    on_packet = balancer.on_packet

    def record_packet(data, addr):
        packets.append((data, addr))
        on_packet(data, addr)

    balancer.on_packet = record_packet
    async with fleet.caller() as caller:
        await caller.request("GET", "/run")
    await wait_until(lambda: not len(agent.table))
    on_packet(*packets[0])
    await asyncio.sleep(0.2)

    assert len(agent.table) == 0
