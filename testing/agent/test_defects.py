"""A defect that one caller's packet shows ends that caller's connection alone."""

import asyncio

from daisygauge_daemon._agent._connection import CallerConnection
from daisygauge_daemon._runtime import EXIT_STOPPED

from .test_drain import wait_until


async def test_a_connection_that_meets_a_defect_leaves_the_others(fleet, monkeypatch):
    await fleet.open()
    (agent,) = fleet.agents
    async with fleet.caller() as calm, fleet.caller() as struck:
        assert (await calm.request("GET", "/run")).whole
        assert (await struck.request("GET", "/run")).whole
        victim = list(agent.acceptor.table.connections())[-1]
        advance = CallerConnection.advance

        def fail_for_victim(self, *, now):
            if self is victim:
                raise RuntimeError("a packet that nobody thought of")
            advance(self, now=now)

        monkeypatch.setattr(CallerConnection, "advance", fail_for_victim)
        victim.wake_up()
        await wait_until(lambda: victim not in agent.acceptor.table.connections())

        assert (await calm.request("GET", "/run")).whole

    assert not agent.runtime.stopping.is_set()
    assert agent.runtime.exit_code == EXIT_STOPPED


async def test_an_inner_datagram_that_meets_a_defect_leaves_the_socket(fleet):
    await fleet.open()
    (agent,) = fleet.agents
    async with fleet.caller() as caller:
        assert (await caller.request("GET", "/run")).whole
        take, agent.node.socket.on_datagram = agent.node.socket.on_datagram, fail
        agent.node.socket.datagram_received(b"odd", ("127.0.0.1", 9))
        await asyncio.sleep(0.01)
        agent.node.socket.on_datagram = take

        assert (await caller.request("GET", "/run")).whole


def fail(data, sender):
    raise RuntimeError("a datagram that nobody thought of")
