import asyncio


async def wait_until(condition):
    async with asyncio.timeout(8):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_drain_waits_for_the_running_request(fleet):
    await fleet.open()
    (agent,) = fleet.agents

    async with fleet.caller() as caller:
        running = caller.start("GET", "/run?work_ms=600")
        await wait_until(lambda: fleet.upstreams[0].started)
        await agent.drain()

    assert (running.status, running.complete) == (200, True)


async def test_requests_after_goaway_are_rejected(fleet):
    await fleet.open()
    (agent,) = fleet.agents

    async with fleet.caller() as caller:
        held = caller.start("GET", "/hold", headers=[("x-request-id", "held")])
        await wait_until(lambda: fleet.upstreams[0].started)
        drain = asyncio.create_task(agent.drain())
        await asyncio.sleep(0.05)
        late = await caller.request("GET", "/run", headers=[("x-request-id", "late")])
        fleet.upstreams[0].release.set()
        await held.done.wait()
        await drain

    assert late.reset == 0x10B
    assert (held.complete, bytes(held.body)) == (True, b"held")
    assert fleet.upstreams[0].started == ["held"]


async def test_an_agent_listed_as_leaving_passes_new_connections_on(fleet):
    await fleet.open(agents=2)
    fleet.leaving.add("host-0")
    await fleet.publish()
    await wait_until(lambda: fleet.agents[0].node.leaving)

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/run")

    host = str(fleet.agents[1].node.host)
    assert (answer.status, answer.headers["x-daisygauge-host"]) == (200, host)


async def test_a_drain_waits_for_a_feed_until_its_caller_cancels_it(fleet):
    await fleet.open()
    (agent,) = fleet.agents

    async with fleet.caller() as caller:
        feed = caller.start("GET", "/feed?interval_ms=10")
        await feed.progress.wait()
        drain = asyncio.create_task(agent.drain())
        await asyncio.sleep(1.5)
        received = len(feed.body)
        await wait_until(lambda: len(feed.body) > received)
        assert not drain.done()
        caller.cancel(feed)
        await drain

    assert fleet.upstreams[0].ended == ["feed"]
