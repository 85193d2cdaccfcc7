import asyncio
from types import SimpleNamespace

import uvloop

from daisygauge_daemon._agent._connection import CallerConnection
from daisygauge_records import Endpoint

CALLER = Endpoint(host="127.0.0.1", port=40_000)


async def arm_due_timer_twice():
    loop = asyncio.get_running_loop()
    quic = SimpleNamespace(get_timer=loop.time)
    connection = CallerConnection(quic=quic, owner=None, caller=CALLER, address=CALLER)
    connection.last_received = loop.time()
    connection.arm_timer(loop)
    connection.arm_timer(loop)
    await connection.wake.wait()


def test_a_due_timer_can_be_armed_again_under_uvloop():
    uvloop.run(asyncio.wait_for(arm_due_timer_twice(), timeout=5))


class EarlyLoop:
    """An event loop whose timers fire early, as uvloop's do by rounding to 1 ms."""

    def __init__(self):
        self.armed = []

    def time(self):
        return 100.0

    def call_at(self, when, callback, *arguments):
        self.armed.append((callback, arguments))
        return SimpleNamespace(cancel=lambda: None, when=lambda: when)


async def test_a_timer_that_fired_early_is_armed_again():
    loop = EarlyLoop()
    quic = SimpleNamespace(get_timer=lambda: 100.0005)
    connection = CallerConnection(quic=quic, owner=None, caller=CALLER, address=CALLER)
    connection.last_received = loop.time()
    connection.arm_timer(loop)
    callback, arguments = loop.armed.pop()

    callback(*arguments)
    connection.arm_timer(loop)

    assert connection.wake.is_set()
    assert len(loop.armed) == 1
