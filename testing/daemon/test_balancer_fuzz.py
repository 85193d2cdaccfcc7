"""Random and forged packets must not affect a valid flow through the balancer."""

import asyncio
import random

import pytest
from attrs import evolve

from daisygauge_records import Key
from daisygauge_wire import (
    ANY_INCARNATION,
    Datagram,
    KeyRing,
    Kind,
    PlacementStatus,
    Route,
    encode_connection_id,
    encode_datagram,
)

from .datapath import (
    KEYS,
    NOW,
    first_flight,
    make_connection_id,
    make_upstream,
    open_peer,
    short_packet,
)

PACKETS = 3_000
SEEDS = (1, 2, 3)
FOREIGN_KEYS = KeyRing.from_keys([Key(id="b", number=7, secret="22" * 32)])
UNPUBLISHED = make_upstream(1, host="127.40.3.9", port=9)


def forge_connection_id(rng):
    route = Route(agent=UNPUBLISHED.agent, service=1, incarnation=5)
    return encode_connection_id(route=route, key=FOREIGN_KEYS.newest(now=NOW))


def truncated_packet(rng):
    whole = short_packet(make_connection_id(UNPUBLISHED))
    return whole[: rng.randrange(1, 21)]


def oversized_connection_id(rng):
    start = b"\xc0\x00\x00\x00\x01" + bytes([rng.randrange(21, 256)])
    return start + rng.randbytes(1_300)


def first_flight_of_unknown_version(rng):
    return first_flight(rng.randbytes(8), version=rng.randrange(2, 2**32), size=600)


OUTER_FORGERIES = (
    lambda rng: rng.randbytes(rng.randrange(1, 1_500)),
    lambda rng: short_packet(rng.randbytes(20)),
    lambda rng: short_packet(forge_connection_id(rng)),
    lambda rng: short_packet(make_connection_id(UNPUBLISHED, service=2)),
    lambda rng: (
        b"\xe0\x00\x00\x00\x01\x14" + forge_connection_id(rng) + rng.randbytes(100)
    ),
    truncated_packet,
    oversized_connection_id,
    first_flight_of_unknown_version,
    lambda rng: rng.randbytes(20_000),
)


def signed_datagram(rng, **changes):
    datagram = Datagram(kind=Kind.REPLY, service=1, payload=b"forged")
    return encode_datagram(evolve(datagram, **changes), key=KEYS.newest(now=NOW))


def datagram_of_foreign_key(rng):
    datagram = Datagram(kind=Kind.REPLY, service=1, payload=b"forged")
    return encode_datagram(datagram, key=FOREIGN_KEYS.newest(now=NOW))


def datagram_with_flipped_bit(rng):
    data = bytearray(signed_datagram(rng))
    data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
    return bytes(data)


INNER_FORGERIES = (
    lambda rng: rng.randbytes(rng.randrange(1, 1_500)),
    lambda rng: b"\x01\x02" + rng.randbytes(rng.randrange(100)),
    datagram_of_foreign_key,
    datagram_with_flipped_bit,
    lambda rng: signed_datagram(rng)[: rng.randrange(1, 30)],
    lambda rng: signed_datagram(rng, service=rng.randrange(3, 65_536)),
    lambda rng: signed_datagram(rng, kind=Kind.FORWARD),
    lambda rng: signed_datagram(rng, kind=Kind.LOAD_REPORT),
    lambda rng: signed_datagram(rng, kind=Kind.PROBE_ANSWER),
    lambda rng: signed_datagram(rng, kind=Kind.PLACEMENT, payload=rng.randbytes(300)),
    lambda rng: signed_datagram(rng, candidates=(UNPUBLISHED.agent,)),
)


@pytest.mark.parametrize("seed", SEEDS)
async def test_forged_packets_are_dropped_and_do_not_affect_a_flow(
    seed, balancer, caller, agent, upstream, address
):
    rng = random.Random(seed)
    flow = make_connection_id(upstream)
    attacker = await open_peer("127.40.4.9")

    for number in range(PACKETS):
        if number % 100 == 0:
            await check_flow(number, flow, balancer, caller, agent, address)
        attacker.send(rng.choice(OUTER_FORGERIES)(rng), address)
        attacker.send(rng.choice(INNER_FORGERIES)(rng), balancer.local)
    await check_flow(PACKETS, flow, balancer, caller, agent, address)
    attacker.transport.close()

    assert caller.received.empty()
    assert attacker.received.empty()
    assert balancer.placer.hosts.suspects.suspicions == {}
    assert sum(balancer.counts.drops.values()) > PACKETS
    assert {"foreign-service", "malformed", "unknown-id", "short-first-flight"} <= set(
        balancer.counts.drops
    )
    assert {"inner-tag", "inner-kind", "inner-unknown-service", "inner-short"} <= set(
        balancer.counts.drops
    )


async def receive_forward(agent, balancer):
    """Return the next packet of a known version; report the others as ignored.

    Agents answer an unknown version with version negotiation and place no flow.
    """
    while True:
        datagram = await agent.receive_datagram()
        if datagram.incarnation != ANY_INCARNATION:
            return datagram
        agent.answer(datagram, PlacementStatus.IGNORED, balancer.local)


async def check_flow(number, flow, balancer, caller, agent, address):
    sent = b"%08d" % number
    caller.send(short_packet(flow, payload=sent), address)
    datagram = await receive_forward(agent, balancer)
    reply = Datagram(
        kind=Kind.REPLY, service=1, caller=caller.endpoint, payload=b"re" + sent
    )
    agent.send_datagram(reply, balancer.local)
    answer, _ = await caller.receive()

    assert datagram.payload.endswith(sent)
    assert answer == b"re" + sent


@pytest.mark.parametrize("size", [1_200, 1_500, 9_000, 60_000])
async def test_a_packet_of_any_size_is_forwarded(
    size, balancer, caller, agent, upstream, address
):
    caller.send(
        short_packet(make_connection_id(upstream), payload=bytes(size)), address
    )
    datagram = await agent.receive_datagram()

    assert datagram.payload.endswith(bytes(size))


async def test_a_packet_with_a_forged_id_is_not_forwarded(
    balancer, caller, agent, address
):
    route = Route(agent=agent.endpoint, service=1, incarnation=1)
    forged = encode_connection_id(route=route, key=FOREIGN_KEYS.newest(now=NOW))

    caller.send(short_packet(forged), address)
    caller.send(b"\x40", address)
    while sum(balancer.counts.drops.values()) < 2:
        await asyncio.sleep(0)

    assert agent.received.empty()
