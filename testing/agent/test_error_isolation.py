"""An unexpected error ends one connection or datagram and no others."""

import asyncio

from daisygauge_daemon._agent._connection import CallerConnection
from daisygauge_daemon._runtime import EXIT_STOPPED

from .test_drain import wait_until


async def test_an_error_in_one_connection_leaves_the_others_open(fleet, monkeypatch):
    await fleet.open()
    (agent,) = fleet.agents
    async with fleet.caller() as healthy, fleet.caller() as failing:
        assert (await healthy.request("GET", "/run")).complete
        assert (await failing.request("GET", "/run")).complete
        failing_connection = list(agent.acceptor.table.connections())[-1]
        advance = CallerConnection.advance

        def fail_for_connection(self, *, now):
            if self is failing_connection:
                raise RuntimeError("unexpected packet")
            advance(self, now=now)

        monkeypatch.setattr(CallerConnection, "advance", fail_for_connection)
        failing_connection.wake_up()
        await wait_until(
            lambda: failing_connection not in agent.acceptor.table.connections()
        )

        assert (await healthy.request("GET", "/run")).complete

    assert not agent.runtime.stopping.is_set()
    assert agent.runtime.exit_code == EXIT_STOPPED


async def test_an_error_in_one_datagram_leaves_the_socket_open(fleet):
    await fleet.open()
    (agent,) = fleet.agents
    async with fleet.caller() as caller:
        assert (await caller.request("GET", "/run")).complete
        on_datagram, agent.node.socket.on_datagram = agent.node.socket.on_datagram, fail
        agent.node.socket.datagram_received(b"odd", ("127.0.0.1", 9))
        await asyncio.sleep(0.01)
        agent.node.socket.on_datagram = on_datagram

        assert (await caller.request("GET", "/run")).complete


def fail(data, sender):
    raise RuntimeError("unexpected datagram")
