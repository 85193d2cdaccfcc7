import asyncio

from .test_drain import wait_until


def key_headers(request_id, key="k-1", first=None):
    headers = [("x-request-id", request_id), ("idempotency-key", key)]
    if first is not None:
        headers.append(("x-daisygauge-first", first))
    return headers


async def post(fleet, headers, path="/run", body=b"two hats"):
    async with fleet.caller() as caller:
        return await caller.request("POST", path, headers=headers, body=body)


async def test_a_repeat_on_the_first_host_gets_the_first_answer(fleet):
    await fleet.open()
    await post(fleet, key_headers("a"))

    repeat = await post(fleet, key_headers("b"))

    assert (repeat.status, bytes(repeat.body)) == (200, b"ran")
    assert fleet.upstreams[0].started == ["a"]


async def test_a_repeat_on_another_host_gets_the_first_hosts_answer(fleet):
    await fleet.open(agents=2)
    first = await post(fleet, key_headers("a"))
    fleet.leaving.add("host-0")
    await fleet.publish()

    repeat = await post(
        fleet, key_headers("b", first=first.headers["x-daisygauge-host"])
    )

    assert (repeat.status, bytes(repeat.body)) == (200, b"ran")
    assert repeat.headers["x-daisygauge-host"] != first.headers["x-daisygauge-host"]
    assert [upstream.started for upstream in fleet.upstreams] == [["a"], []]


async def test_a_repeat_of_an_undelivered_request_runs_instead_of_the_late_original(
    fleet,
):
    await fleet.open(agents=2)
    first = str(fleet.agents[0].node.host)
    fleet.leaving.add("host-0")
    await fleet.publish()

    repeat = await post(fleet, key_headers("b", first=first))
    fleet.leaving.clear()
    fleet.agents[0].node.leaving = False
    late = await post(fleet, key_headers("a"))

    assert (repeat.status, late.status) == (200, 200)
    assert bytes(late.body) == b"ran"
    assert [upstream.started for upstream in fleet.upstreams] == [[], ["b"]]


async def test_a_repeat_is_unknown_when_the_first_host_has_restarted(fleet):
    await fleet.open(agents=2)
    host = fleet.agents[1].node.host
    earlier_start = f"{host.agent};{host.incarnation - 1}"

    repeat = await post(fleet, key_headers("b", first=earlier_start))

    assert repeat.headers["x-daisygauge-outcome"] == "unknown"
    assert [upstream.started for upstream in fleet.upstreams] == [[], []]


async def test_a_key_with_another_body_is_not_run(fleet):
    await fleet.open()
    await post(fleet, key_headers("a"))

    other = await post(fleet, key_headers("b"), body=b"two hundred hats")

    assert other.headers["x-daisygauge-outcome"] == "not-run"
    assert fleet.upstreams[0].started == ["a"]


async def test_a_request_with_a_key_finishes_after_its_caller_is_gone(fleet):
    await fleet.open()
    async with fleet.caller() as caller:
        caller.start("POST", "/hold", headers=key_headers("a"), body=b"two hats")
        await wait_until(lambda: fleet.upstreams[0].started)
    await wait_until(lambda: not len(fleet.agents[0].table))
    fleet.upstreams[0].release.set()

    repeat = await post(fleet, key_headers("b"), path="/hold")

    assert (repeat.status, bytes(repeat.body)) == (200, b"held")
    assert fleet.upstreams[0].started == ["a"]


async def test_concurrent_copies_run_once(fleet):
    await fleet.open()

    async with fleet.caller() as one, fleet.caller() as two:
        answers = await asyncio.gather(
            one.request(
                "POST", "/run?work_ms=200", headers=key_headers("a"), body=b"two hats"
            ),
            two.request(
                "POST", "/run?work_ms=200", headers=key_headers("b"), body=b"two hats"
            ),
        )

    assert [answer.status for answer in answers] == [200, 200]
    assert len(fleet.upstreams[0].started) == 1
