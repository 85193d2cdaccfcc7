"""An agent answers first flights that it can't use.

Otherwise anyone could make an agent look silent to balancers by sending such packets.
"""

import asyncio

import pytest

from daisygauge_records import Endpoint
from daisygauge_wire import (
    Datagram,
    Kind,
    PlacementStatus,
    decode_datagram,
    encode_datagram,
)

from .fakes import HOST, KEYS

NOW = 1_000.0


class ReportRecorder(asyncio.DatagramProtocol):
    """Records the agent's reports about first flights."""

    def __init__(self):
        self.placed = asyncio.Queue()

    def datagram_received(self, data, sender):
        datagram = decode_datagram(data, keys=KEYS, now=NOW)
        if datagram.kind is Kind.PLACEMENT:
            self.placed.put_nowait(datagram)


@pytest.mark.parametrize(
    "start",
    [
        b"\xc0\x00\x00\x00\x09\x08callerid\x00",
        b"\xc0\x00\x00\x00\x00\x08callerid\x00",
        b"\xd0\x00\x00\x00\x01\x08callerid\x00",
        b"\xc0\x00\x00\x00\x01\x08callerid\xff",
    ],
    ids=["other version", "version negotiation", "0-RTT", "bad header"],
)
async def test_a_first_flight_that_opens_no_connection_is_answered(fleet, start):
    await fleet.open()
    loop = asyncio.get_running_loop()
    transport, recorder = await loop.create_datagram_endpoint(
        ReportRecorder, local_addr=(HOST, 0)
    )
    host, port = transport.get_extra_info("sockname")
    offer = Datagram(
        kind=Kind.FORWARD,
        service=3,
        sender=Endpoint(host=host, port=port),
        payload=start.ljust(1_200, b"\0"),
    )
    agent = fleet.hosts[0].agent

    transport.sendto(
        encode_datagram(offer, key=KEYS.newest(now=NOW)), (agent.host, agent.port)
    )
    async with asyncio.timeout(5):
        answer = await recorder.placed.get()
    transport.close()

    assert answer.payload == b"callerid"
    assert answer.status is PlacementStatus.IGNORED
