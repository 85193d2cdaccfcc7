import pytest
from control.fakes import make_key, make_service, make_upstream
from control.fleet import run_fleet, wait_until

from daisygauge_records import Role
from daisygauge_wire.control_pb2 import StatusRequest


@pytest.fixture
async def fleet(platform):
    platform.publish(make_key(), make_service(), make_upstream())
    async with run_fleet(platform) as fleet:
        for domain in ("erongo-1", "erongo-2"):
            for number in range(4):
                await fleet.add(f"{domain}-b{number}", failure_domain=domain)
            await fleet.add(f"{domain}-a", role=Role.AGENT, failure_domain=domain)
        fleet.run()
        await fleet.wait_until_ready()
        yield fleet


async def ask(fleet, id):
    answer = await fleet[id].source.answer_status(StatusRequest())
    return {domain.failure_domain: domain for domain in answer.domains}


def is_whole(domains, *, members):
    return all(
        len(domain.members) == members
        and all(member.behind_seconds == 0 for member in domain.members)
        for domain in domains.values()
    )


@pytest.mark.parametrize("asked", ["erongo-1-b0", "erongo-2-b3", "erongo-1-a"])
async def test_any_daemon_tells_of_the_whole_fleet(fleet, asked):
    domains = {}

    async def seen():
        nonlocal domains
        domains = await ask(fleet, asked)
        return is_whole(domains, members=5)

    while not await seen():
        await wait_until(lambda: True)

    assert set(domains) == {"erongo-1", "erongo-2"}
    assert all(len(domain.seats) == 3 for domain in domains.values())
    assert not any(domain.unseen for domain in domains.values())


async def test_a_daemon_that_reports_to_no_seat_is_named(fleet):
    await fleet["erongo-2-a"].stop()

    def is_named():
        seats = [p for p in fleet.participants.values() if p.source.node.is_watcher]
        return not any("erongo-2-a" in seat.source.node.followers for seat in seats)

    await wait_until(is_named)

    assert list((await ask(fleet, "erongo-1-b1"))["erongo-2"].unseen) == ["erongo-2-a"]


async def test_a_refused_record_is_told_with_its_reason(fleet, platform):
    platform.publish(make_upstream(slots=0, revision=2))
    await wait_until(lambda: any(p.source.refused for p in fleet.participants.values()))

    domains = await ask(fleet, "erongo-1-b0")

    refused = [
        refusal
        for domain in domains.values()
        for member in domain.members
        for refusal in member.report.refused
    ]
    assert {refusal.name for refusal in refused} == {"upstream/u1"}
    assert "spec.slots" in refused[0].reasons[0]
