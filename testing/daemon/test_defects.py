"""A datagram that shows a defect is dropped; the socket goes on."""

import asyncio

import pytest

from daisygauge_wire import Datagram, Kind

from .datapath import issue_id, short_packet


def fail(*arguments, **keywords):
    raise RuntimeError("a datagram that nobody thought of")


@pytest.mark.parametrize("is_outer", [True, False])
async def test_a_flow_goes_on_after_a_defective_datagram(
    balancer, caller, agent, upstream, address, monkeypatch, is_outer
):
    struck = next(iter(balancer.outers.values())) if is_outer else balancer.inner
    hidden = "handle_unrouted" if is_outer else "handle_message"
    counted = "defect" if is_outer else "inner-defect"
    with monkeypatch.context() as patch:
        patch.setattr(struck, hidden, fail)
        caller.send(bytes(40), address if is_outer else balancer.local)
        while not balancer.counts.drops[counted]:
            await asyncio.sleep(0)

    caller.send(short_packet(issue_id(upstream), payload=b"hello"), address)
    datagram = await agent.receive_datagram()
    reply = Datagram(kind=Kind.REPLY, service=1, caller=caller.endpoint, payload=b"re")
    agent.send_datagram(reply, balancer.local)
    answer, _ = await caller.receive()

    assert datagram.payload.endswith(b"hello")
    assert answer == b"re"
