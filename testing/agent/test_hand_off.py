import asyncio

from .test_drain import wait_until


async def test_a_request_is_handed_to_an_idle_peer_and_answered_by_its_host(fleet):
    await fleet.open(agents=2, slots=1)

    async with fleet.caller() as caller:
        held = caller.start("GET", "/hold")
        await wait_until(lambda: fleet.upstreams[0].started)
        await asyncio.sleep(0.4)
        answer = await caller.request("POST", "/run", headers=[("x-request-id", "p")])
        fleet.upstreams[0].release.set()
        await held.done.wait()

    assert (answer.status, bytes(answer.body), answer.complete) == (200, b"ran", True)
    assert answer.headers["x-daisygauge-host"] == str(fleet.agents[0].node.host)
    assert fleet.upstreams[1].started == ["p"]


async def test_a_large_body_is_handed_off_unchanged(fleet):
    await fleet.open(agents=2, slots=1)
    body = bytes(range(256)) * 2048

    async with fleet.caller() as caller:
        held = caller.start("GET", "/hold")
        await wait_until(lambda: fleet.upstreams[0].started)
        await asyncio.sleep(0.4)
        # Without a deadline of its own, the class's few seconds bound the transfer.
        answer = await caller.request(
            "POST", "/echo", body=body, headers=[("x-deadline-ms", "600000")]
        )
        fleet.upstreams[0].release.set()
        await held.done.wait()

    assert (answer.status, answer.complete) == (200, True)
    assert bytes(answer.body) == body


async def test_an_unsigned_hand_off_is_refused_and_the_request_runs_here(
    fleet, monkeypatch
):
    await fleet.open(agents=2, slots=1)
    monkeypatch.setattr(fleet.agents[0].calls, "sign", lambda method, receiver: {})

    async with fleet.caller() as caller:
        held = caller.start("GET", "/hold")
        await wait_until(lambda: fleet.upstreams[0].started)
        await asyncio.sleep(0.4)
        pending = caller.start("POST", "/run", headers=[("x-request-id", "p")])
        await asyncio.sleep(0.3)
        fleet.upstreams[0].release.set()
        await asyncio.wait_for(pending.done.wait(), 5)
        await held.done.wait()

    assert fleet.upstreams[1].started == []
    assert (pending.status, fleet.upstreams[0].started[-1]) == (200, "p")
