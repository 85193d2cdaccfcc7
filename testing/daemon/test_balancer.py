import asyncio

import pytest
from attrs import evolve

from daisygauge_records import Endpoint
from daisygauge_wire import Datagram, Kind, PlacementStatus, Route, encode_connection_id

from .datapath import (
    KEYS,
    NOW,
    first_flight,
    make_connection_id,
    make_service,
    make_upstream,
    make_view,
    short_packet,
)

OUTER = "127.40.2.2"


async def test_an_established_packet_goes_to_the_agent_that_its_id_names(
    balancer, caller, agent, upstream, address, services
):
    packet = short_packet(make_connection_id(upstream))

    caller.send(packet, address)
    datagram = await agent.receive_datagram()

    assert datagram == Datagram(
        kind=Kind.FORWARD,
        service=1,
        incarnation=5,
        caller=caller.endpoint,
        address=services[0].address,
        sender=balancer.local,
        payload=packet,
    )


async def test_a_route_needs_no_configuration_but_the_key(
    balancer, caller, other_agent, address
):
    unpublished = make_upstream(9, port=other_agent.endpoint.port)

    caller.send(short_packet(make_connection_id(unpublished)), address)

    assert (await other_agent.receive_datagram()).kind is Kind.FORWARD


async def test_a_first_flight_is_pending_until_an_agent_accepts_it(
    balancer, caller, agent, address
):
    caller.send(first_flight(), address)
    offer = await agent.receive_datagram()
    agent.answer(offer, PlacementStatus.ACCEPTED, balancer.local)
    while len(balancer.placer.pending):
        await asyncio.sleep(0)

    assert offer.payload == first_flight()
    assert balancer.counts.placements["accepted"] == 1


async def test_a_reply_leaves_from_the_address_of_its_service(
    balancer, caller, agent, other_address
):
    reply = Datagram(
        kind=Kind.REPLY, service=2, caller=caller.endpoint, payload=b"answer"
    )

    agent.send_datagram(reply, balancer.local)

    data, sender = await caller.receive()
    assert data == b"answer"
    assert sender == (other_address.host, other_address.port)


async def test_a_packet_on_the_socket_of_another_service_is_dropped(
    balancer, caller, agent, upstream, address, other_address
):
    packet = short_packet(make_connection_id(upstream, service=1))

    caller.send(packet, other_address)
    caller.send(short_packet(make_connection_id(upstream), payload=b"own"), address)

    assert (await agent.receive_datagram()).payload.endswith(b"own")
    while not balancer.counts.drops:
        await asyncio.sleep(0)
    assert balancer.counts.drops == {"foreign-service": 1}


@pytest.mark.parametrize(
    ("packet", "reason"),
    [
        (b"\x40", "malformed"),
        (b"\x40short", "malformed"),
        (b"\xc0" + bytes(4) + b"\xff" + bytes(1_200), "malformed"),
        (short_packet(b"i" * 20), "unknown-id"),
        (b"\xe0\x00\x00\x00\x01\x08callerid".ljust(1_200, b"\0"), "unknown-id"),
        (first_flight(size=300), "short-first-flight"),
    ],
)
async def test_an_invalid_packet_is_dropped_and_counted(
    balancer, caller, agent, upstream, address, packet, reason
):
    caller.send(packet, address)
    caller.send(short_packet(make_connection_id(upstream)), address)
    await agent.receive_datagram()

    assert balancer.counts.drops == {reason: 1}


async def test_a_probe_is_answered_until_the_balancer_drains(balancer, agent):
    probe = Datagram(kind=Kind.PROBE, service=1, incarnation=5, sender=agent.endpoint)

    agent.send_datagram(probe, balancer.local)
    answer = await agent.receive_datagram()
    await balancer.drain()
    agent.send_datagram(probe, balancer.local)
    agent.send_datagram(evolve(probe, kind=Kind.LOAD_REPORT), balancer.local)
    while not balancer.counts.drops:
        await asyncio.sleep(0)

    assert (answer.kind, answer.incarnation) == (Kind.PROBE_ANSWER, 9)
    assert balancer.counts.drops == {"inner-kind": 1}
    assert agent.received.empty()


async def test_a_draining_balancer_still_forwards_packets(
    balancer, caller, agent, upstream, address
):
    draining = asyncio.create_task(balancer.drain())
    await asyncio.sleep(0)

    caller.send(short_packet(make_connection_id(upstream)), address)

    assert (await agent.receive_datagram()).kind is Kind.FORWARD
    await draining


async def test_a_removed_service_is_closed_and_a_new_one_opened(
    balancer, caller, agent, upstream, services, other_address
):
    third = make_service(number=3, port=4435, name="proofshop")
    view = make_view(services[0], third, upstreams=[upstream], version=2)

    await balancer.runtime.source.publish(view)
    while set(balancer.outers) != {"order-desk", "proofshop"}:
        await asyncio.sleep(0)

    caller.send(
        short_packet(make_connection_id(upstream, service=3)),
        Endpoint(host=OUTER, port=4435),
    )
    assert (await agent.receive_datagram()).service == 3


async def test_an_address_that_is_taken_does_not_stop_the_other_services(
    balancer, services, upstream, agent, caller, address
):
    conflicting = make_service(number=3, port=4433, name="proofshop")
    view = make_view(*services, conflicting, upstreams=[upstream], version=2)

    await balancer.runtime.source.publish(view)
    while not balancer.counts.unbound:
        await asyncio.sleep(0)

    caller.send(short_packet(make_connection_id(upstream)), address)
    assert (await agent.receive_datagram()).kind is Kind.FORWARD
    assert balancer.runtime.readiness.unmet == {"configuration"}


async def test_an_expired_key_routes_nothing(
    balancer, services, upstream, caller, agent, address
):
    expired = encode_connection_id(
        route=Route(agent=upstream.agent, service=1, incarnation=5),
        key=KEYS.newest(now=NOW),
    )
    view = make_view(
        *services, upstreams=[upstream], version=2, keys=type(KEYS)(keys={})
    )

    await balancer.runtime.source.publish(view)
    while balancer.inner.keys.keys:
        await asyncio.sleep(0)
    caller.send(short_packet(expired), address)
    while not balancer.counts.drops:
        await asyncio.sleep(0)

    assert balancer.counts.drops == {"unknown-id": 1}
