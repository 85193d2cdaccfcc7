"""An error in the handling of a datagram must not close the balancer's socket."""

import asyncio

import pytest

from daisygauge_wire import Datagram, Kind

from .datapath import make_connection_id, short_packet


def fail(*arguments, **keywords):
    raise RuntimeError("unexpected datagram")


@pytest.mark.parametrize("is_outer", [True, False])
async def test_a_flow_continues_after_the_handling_of_a_datagram_failed(
    balancer, caller, agent, upstream, address, monkeypatch, is_outer
):
    protocol = next(iter(balancer.outers.values())) if is_outer else balancer.inner
    method = "handle_unrouted" if is_outer else "handle_message"
    reason = "defect" if is_outer else "inner-defect"
    with monkeypatch.context() as patch:
        patch.setattr(protocol, method, fail)
        caller.send(bytes(40), address if is_outer else balancer.local)
        while not balancer.counts.drops[reason]:
            await asyncio.sleep(0)

    caller.send(short_packet(make_connection_id(upstream), payload=b"hello"), address)
    datagram = await agent.receive_datagram()
    reply = Datagram(kind=Kind.REPLY, service=1, caller=caller.endpoint, payload=b"re")
    agent.send_datagram(reply, balancer.local)
    answer, _ = await caller.receive()

    assert datagram.payload.endswith(b"hello")
    assert answer == b"re"
