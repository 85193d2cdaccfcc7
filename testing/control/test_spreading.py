import pytest
from control.fakes import make_key, make_service, make_upstream
from control.fleet import run_fleet, wait_until

from daisygauge_control import WatcherChanged
from daisygauge_records import Role

DOMAINS = ("erongo-1", "erongo-2")


@pytest.fixture
async def fleet(platform):
    platform.publish(make_key(), make_service(), make_upstream(slots=1))
    async with run_fleet(platform) as fleet:
        for domain in DOMAINS:
            for number in range(5):
                await fleet.add(f"{domain}-b{number}", failure_domain=domain)
            await fleet.add(f"{domain}-a", role=Role.AGENT, failure_domain=domain)
        fleet.run()
        await fleet.wait_until_ready()
        yield fleet


def seats_of(fleet):
    return [id for id, p in fleet.participants.items() if p.source.node.is_watcher]


async def test_a_change_reaches_every_daemon(fleet, platform):
    platform.publish(make_upstream(slots=7, revision=2))

    await fleet.wait_for_slots(7)


async def test_a_few_seats_of_each_domain_watch_the_platform(fleet, platform):
    await wait_until(lambda: len(seats_of(fleet)) == 6)
    before = len(platform.reads)

    platform.publish(make_upstream(slots=7, revision=2))
    await fleet.wait_for_slots(7)

    assert len(platform.reads) - before <= 2 * len(seats_of(fleet))


async def test_all_seats_killed_at_the_moment_of_a_change(fleet, platform):
    seats = seats_of(fleet)

    platform.publish(make_upstream(slots=8, revision=2))
    await fleet.stop(*seats)

    await fleet.wait_for_slots(8)
    platform.publish(make_upstream(slots=9, revision=3))
    await fleet.wait_for_slots(9)
    assert len(fleet.participants) == 6


async def test_agents_read_the_platform_when_no_peer_is_left(fleet, platform):
    balancers = [id for id, p in fleet.participants.items() if "-b" in id]
    await fleet.stop(*balancers)

    platform.publish(make_upstream(slots=4, revision=2))

    await fleet.wait_for_slots(4)


async def test_a_deletion_reaches_every_daemon(fleet, platform):
    platform.publish(make_upstream(deleted=True, revision=2))

    await wait_until(lambda: fleet.slots() == {})


async def test_an_upstream_that_changes_its_service_leaves_the_agents(fleet, platform):
    platform.publish(make_upstream(service="pattern-library", revision=2))

    await wait_until(lambda: fleet.slots() == {})


async def test_agents_hold_only_what_they_need(fleet, platform):
    platform.publish(
        make_service("pattern-library", number=2, host="10.0.0.2"),
        make_upstream("u2", service="pattern-library"),
        make_upstream(slots=3, revision=2),
    )
    await fleet.wait_for_slots(3)

    assert list(fleet["erongo-1-a"].view.services) == ["order-desk"]
    assert len(fleet["erongo-1-b0"].view.services) == 2


async def test_the_instance_list_reaches_every_daemon(fleet):
    await fleet.add("newcomer", failure_domain="erongo-2")
    fleet.run()

    await wait_until(
        lambda: all("newcomer" in p.view.instances for p in fleet.participants.values())
    )
    await fleet.stop("newcomer")
    fleet.list_all()
    await wait_until(
        lambda: (
            not any("newcomer" in p.view.instances for p in fleet.participants.values())
        )
    )


async def test_a_newborn_takes_the_highest_of_a_stale_platform_and_peers(
    fleet, platform
):
    platform.publish(make_upstream(slots=7, revision=2))
    await fleet.wait_for_slots(7)
    platform.publish(make_upstream(slots=1, revision=1))

    newborn = await fleet.add("newborn")
    newborn.run()
    await wait_until(lambda: newborn.source.ready)

    assert newborn.view.upstreams["order-desk"][0].slots == 7


async def test_an_outage_of_the_platform_leaves_everything_in_force(fleet, platform):
    platform.fail()
    await fleet.stop(*seats_of(fleet))

    assert set(fleet.slots().values()) == {1}
    platform.fail(False)
    platform.publish(make_upstream(slots=2, revision=2))
    await fleet.wait_for_slots(2)


async def test_two_parts_of_the_fleet_agree_after_they_meet(fleet, platform):
    outside = [id for id in fleet.participants if id.startswith("erongo-2")]
    records = dict(platform.records)
    await fleet.stop(*outside)
    platform.publish(make_upstream(slots=9, revision=5))
    await fleet.wait_for_slots(9)

    platform.records = records
    for number in range(3):
        await fleet.add(f"erongo-2-c{number}", failure_domain="erongo-2")
    fleet.run()

    await fleet.wait_for_slots(9)


async def test_a_daemon_tells_when_it_becomes_a_seat(fleet):
    seat = fleet[seats_of(fleet)[0]]

    assert WatcherChanged(is_watcher=True) in seat.events


async def test_a_daemon_that_gave_up_its_seat_goes_on(platform, monkeypatch):
    monkeypatch.setattr("daisygauge_control._steering.SEAT_LINGER_SECONDS", 0.1)
    platform.publish(make_key(), make_service(), make_upstream(slots=1))
    async with run_fleet(platform) as fleet:
        for number in range(3):
            await fleet.add(f"b{number}")
        fleet.run()
        await wait_until(lambda: len(seats_of(fleet)) == 3)

        for number in range(3, 12):
            await fleet.add(f"b{number}")
        fleet.run()
        first = [fleet[f"b{number}"].source.node for number in range(3)]
        await wait_until(lambda: not all(node.is_watcher for node in first))
        platform.publish(make_upstream(slots=5, revision=2))

        await fleet.wait_for_slots(5)
        assert not any(p.task.done() for p in fleet.participants.values())
