import asyncio


async def test_an_answer_is_complete_and_names_its_host(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/run", headers=[("x-request-id", "r1")])

    host = fleet.agents[0].node.host
    assert (answer.status, bytes(answer.body), answer.complete) == (200, b"ran", True)
    assert answer.headers["x-daisygauge-host"] == str(host)
    assert fleet.upstreams[0].started == ["r1"]


async def test_a_large_download_is_complete(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/download?size=2097152")

    assert answer.complete
    assert bytes(answer.body) == bytes(range(256)) * 8192


async def test_a_large_body_reaches_the_upstream_unchanged(fleet):
    await fleet.open()
    body = bytes(range(256)) * 4096

    async with fleet.caller() as caller:
        answer = await caller.request("POST", "/echo", body=body)

    assert answer.complete
    assert bytes(answer.body) == body


async def test_a_truncated_upstream_answer_resets_the_stream(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = await caller.request("GET", "/truncated")

    assert not answer.complete
    assert answer.reset == 0x102


async def test_cancelling_a_request_cancels_it_at_the_upstream(fleet):
    await fleet.open()

    async with fleet.caller() as caller:
        answer = caller.start("GET", "/feed")
        await answer.progress.wait()
        caller.cancel(answer)
        async with asyncio.timeout(5):
            while fleet.upstreams[0].ended != ["feed"]:
                await asyncio.sleep(0.01)

    assert fleet.upstreams[0].started == ["feed"]
