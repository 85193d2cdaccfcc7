"""Records, keys and raw UDP peers for tests of the balancer."""

from __future__ import annotations

import asyncio

from attrs import evolve

from daisygauge_control import ConfigurationView
from daisygauge_records import Endpoint, Key, Service, Upstream
from daisygauge_wire import (
    KeyRing,
    Kind,
    Route,
    decode_datagram,
    encode_connection_id,
    encode_datagram,
)

NOW = 1_000.0
KEYS = KeyRing.from_keys([Key(id="a", number=7, secret="11" * 32)])
FIRST_FLIGHT_BYTES = 1_200


def make_service(*, number=1, port=4433, name="order-desk", **changes):
    address = Endpoint(host="127.40.2.1", port=port)
    return Service(id=name, number=number, address=address, **changes)


def make_upstream(number, *, service="order-desk", host="127.40.3.1", port=None):
    return Upstream(
        id=f"{service}-{number}",
        service=service,
        agent=Endpoint(host=host, port=port or 7000 + number),
        peer_port=1,
        failure_domain=f"erongo-{number}",
    )


def make_view(*services, upstreams=(), version=1, keys=KEYS, instances=None):
    return ConfigurationView(
        version=version,
        services={service.id: service for service in services},
        upstreams={
            service.id: tuple(
                upstream for upstream in upstreams if upstream.service == service.id
            )
            for service in services
        },
        keys=keys,
        instances=instances or {},
    )


def make_connection_id(upstream, *, service=1, incarnation=5, keys=KEYS):
    route = Route(agent=upstream.agent, service=service, incarnation=incarnation)
    return encode_connection_id(route=route, key=keys.newest(now=NOW))


def first_flight(destination_id=b"callerid", *, version=1, size=FIRST_FLIGHT_BYTES):
    start = b"\xc0" + version.to_bytes(4) + bytes([len(destination_id)])
    return (start + destination_id).ljust(size, b"\0")


def short_packet(connection_id, *, payload=b"payload"):
    return b"\x40" + connection_id + payload


class UdpPeer(asyncio.DatagramProtocol):
    """A socket whose datagrams the test reads one by one."""

    def __init__(self):
        self.received = asyncio.Queue()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, sender):
        self.received.put_nowait((data, sender))

    @property
    def endpoint(self):
        host, port = self.transport.get_extra_info("sockname")
        return Endpoint(host=host, port=port)

    def send(self, data, receiver):
        self.transport.sendto(data, (receiver.host, receiver.port))

    def send_datagram(self, datagram, receiver, *, keys=KEYS):
        self.send(encode_datagram(datagram, key=keys.newest(now=NOW)), receiver)

    async def receive(self):
        return await self.received.get()

    async def receive_datagram(self):
        data, _ = await self.receive()
        return decode_datagram(data, keys=KEYS, now=NOW)

    def answer(self, offer, status, receiver):
        payload = read_caller_id(offer)
        self.send_datagram(
            evolve(
                offer,
                kind=Kind.PLACEMENT,
                status=status,
                candidates=(),
                payload=payload,
            ),
            receiver,
        )


def read_caller_id(offer):
    length = offer.payload[5]
    return offer.payload[6 : 6 + length]


async def open_peer(host="127.40.3.1"):
    _, peer = await asyncio.get_running_loop().create_datagram_endpoint(
        UdpPeer, local_addr=(host, 0)
    )
    return peer
