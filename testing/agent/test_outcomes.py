"""Outcomes that callers receive, compared with what the upstreams ran."""

import asyncio

import pytest

from .test_drain import wait_until

UNKNOWN = "unknown"
NOT_RUN = "not-run"


async def occupy_slot(fleet, caller):
    """Occupy the only slot of the caller's host, so that requests are handed off."""
    held = caller.start("GET", "/hold")
    await wait_until(lambda: fleet.upstreams[0].started)
    await asyncio.sleep(0.4)
    return held


def get_outcome(answer):
    if answer.complete and answer.status == 200:
        return "complete"
    if answer.reset is not None:
        return "cut"
    return answer.headers["x-daisygauge-outcome"]


def count_runs(fleet, request_id):
    return sum(upstream.started.count(request_id) for upstream in fleet.upstreams)


async def test_a_request_is_not_run_when_its_upstream_is_gone(fleet):
    await fleet.open()
    await fleet.upstreams[0].close()

    async with fleet.caller() as caller:
        answer = await caller.request("POST", "/run", headers=[("x-request-id", "r")])

    assert get_outcome(answer) == NOT_RUN
    assert int(answer.headers["retry-after"]) >= 1
    assert count_runs(fleet, "r") == 0


async def test_a_lookup_that_may_have_run_is_not_reported_as_not_run(
    fleet, monkeypatch
):
    await fleet.open(agents=2)
    monkeypatch.setattr(fleet.agents[0].calls, "sign", lambda method, receiver: {})

    async with fleet.caller() as caller:
        await asyncio.sleep(0.4)
        answer = await caller.request(
            "GET", "/break-off", headers=[("x-request-id", "r")]
        )

    assert count_runs(fleet, "r") == 1
    assert get_outcome(answer) == UNKNOWN


async def test_a_post_is_never_retried(fleet):
    await fleet.open(agents=2)

    async with fleet.caller() as caller:
        await asyncio.sleep(0.4)
        answer = await caller.request(
            "POST", "/break-off", headers=[("x-request-id", "r")]
        )

    assert count_runs(fleet, "r") == 1
    assert get_outcome(answer) == UNKNOWN


async def test_an_idempotent_lookup_is_retried_at_a_peer(fleet):
    await fleet.open(agents=2)

    async with fleet.caller() as caller:
        await asyncio.sleep(0.4)
        await caller.request("GET", "/break-off", headers=[("x-request-id", "r")])

    assert count_runs(fleet, "r") == 2


@pytest.mark.parametrize(
    ("path", "outcome"),
    [("/hold", UNKNOWN), ("/drip", "cut"), ("/run", "complete")],
    ids=["while-it-runs", "mid-body", "after-the-answer"],
)
async def test_the_outcome_when_a_peer_dies_during_a_hand_off(fleet, path, outcome):
    await fleet.open(agents=2, slots=1)

    async with fleet.caller() as caller:
        held = await occupy_slot(fleet, caller)
        moved = caller.start("POST", path, headers=[("x-request-id", "r")])
        await wait_until(lambda: count_runs(fleet, "r"))
        await wait_until(lambda: path != "/drip" or moved.body)
        await wait_until(lambda: path != "/run" or moved.complete)
        fleet.agents[1].peer_port.server.close()
        await asyncio.wait_for(moved.done.wait(), 10)
        fleet.upstreams[0].release.set()
        await held.done.wait()

    assert get_outcome(moved) == outcome
    assert count_runs(fleet, "r") == 1


async def test_a_request_runs_once_when_its_peer_is_gone_before_the_hand_off(fleet):
    await fleet.open(agents=2, slots=1)

    async with fleet.caller() as caller:
        held = await occupy_slot(fleet, caller)
        fleet.agents[1].peer_port.server.close()
        waiting = caller.start("POST", "/run", headers=[("x-request-id", "r")])
        await asyncio.sleep(0.2)
        fleet.upstreams[0].release.set()
        await asyncio.wait_for(waiting.done.wait(), 10)
        await held.done.wait()

    assert get_outcome(waiting) == "complete"
    assert count_runs(fleet, "r") == 1


async def test_a_host_paused_past_the_deadline_does_not_run_a_request(
    fleet, monkeypatch
):
    await fleet.open(slots=1)
    (agent,) = fleet.agents
    clock = agent.runtime.now

    async with fleet.caller() as caller:
        held = await occupy_slot(fleet, caller)
        late = caller.start("POST", "/run", headers=[("x-request-id", "r")])
        await wait_until(lambda: agent.slots.waiting)
        monkeypatch.setattr(agent.runtime, "now", lambda: clock() + 60)
        fleet.upstreams[0].release.set()
        await asyncio.wait_for(late.done.wait(), 10)
        await held.done.wait()

    assert get_outcome(late) == NOT_RUN
    assert count_runs(fleet, "r") == 0


async def test_a_host_paused_while_it_connects_does_not_run_a_request(
    fleet, monkeypatch
):
    await fleet.open()
    (agent,) = fleet.agents
    connect = agent.upstream.session.connector.connect
    clock = agent.runtime.now

    async def connect_slowly(*arguments, **options):
        monkeypatch.setattr(agent.runtime, "now", lambda: clock() + 60)
        return await connect(*arguments, **options)

    async with fleet.caller() as caller:
        await caller.request("GET", "/run")
        monkeypatch.setattr(agent.upstream.session.connector, "connect", connect_slowly)
        late = await caller.request("POST", "/run", headers=[("x-request-id", "r")])

    assert get_outcome(late) == NOT_RUN
    assert count_runs(fleet, "r") == 0
