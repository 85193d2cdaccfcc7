import asyncio


async def test_a_request_is_answered_whole_and_names_its_host(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/run", headers=[("x-request-id", "r1")])

    host = fleet.agents[0].node.host
    assert (answer.status, bytes(answer.body), answer.whole) == (200, b"ran", True)
    assert answer.headers["x-daisygauge-host"] == str(host)
    assert fleet.upstreams[0].started == ["r1"]


async def test_a_large_download_is_whole(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/download?size=2097152")

    assert answer.whole
    assert bytes(answer.body) == bytes(range(256)) * 8192


async def test_a_large_body_reaches_the_upstream_whole(fleet):
    await fleet.open()
    body = bytes(range(256)) * 4096

    async with fleet.caller() as caller:
        answer = await caller.request("POST", "/echo", body=body)

    assert answer.whole
    assert bytes(answer.body) == body


async def test_a_truncated_upstream_answer_is_never_ended_cleanly(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/truncated")

    assert not answer.whole
    assert answer.reset == 0x102


async def test_a_cancelled_request_is_closed_at_the_upstream(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = caller.start("GET", "/feed")
        await answer.progress.wait()
        caller.cancel(answer)
        async with asyncio.timeout(5):
            while fleet.upstreams[0].ended != ["feed"]:
                await asyncio.sleep(0.01)

    assert fleet.upstreams[0].started == ["feed"]
