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


def watchers_of(fleet):
    return [id for id, p in fleet.participants.items() if p.source.node.is_watcher]


async def test_a_change_reaches_every_daemon(fleet, platform):
    platform.publish(make_upstream(slots=7, revision=2))

    await fleet.wait_for_slots(7)


async def test_only_the_watchers_of_each_domain_read_the_platform(fleet, platform):
    await wait_until(lambda: len(watchers_of(fleet)) == 6)
    before = len(platform.reads)

    platform.publish(make_upstream(slots=7, revision=2))
    await fleet.wait_for_slots(7)

    assert len(platform.reads) - before <= 2 * len(watchers_of(fleet))


async def test_a_change_survives_the_loss_of_all_watchers(fleet, platform):
    watchers = watchers_of(fleet)

    platform.publish(make_upstream(slots=8, revision=2))
    await fleet.stop(*watchers)

    await fleet.wait_for_slots(8)
    platform.publish(make_upstream(slots=9, revision=3))
    await fleet.wait_for_slots(9)
    assert len(fleet.participants) == 6


async def test_agents_read_the_platform_if_no_peer_is_left(fleet, platform):
    balancers = [id for id, p in fleet.participants.items() if "-b" in id]
    await fleet.stop(*balancers)

    platform.publish(make_upstream(slots=4, revision=2))

    await fleet.wait_for_slots(4)


async def test_a_deletion_reaches_every_daemon(fleet, platform):
    platform.publish(make_upstream(deleted=True, revision=2))

    await wait_until(lambda: fleet.slots() == {})


async def test_an_upstream_that_changes_its_service_is_removed_from_agents(
    fleet, platform
):
    platform.publish(make_upstream(service="pattern-library", revision=2))

    await wait_until(lambda: fleet.slots() == {})


async def test_agents_hold_only_records_of_their_service(fleet, platform):
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
    fleet.publish_instances()
    await wait_until(
        lambda: (
            not any("newcomer" in p.view.instances for p in fleet.participants.values())
        )
    )


async def test_a_new_daemon_takes_the_highest_revision_of_platform_and_peers(
    fleet, platform
):
    platform.publish(make_upstream(slots=7, revision=2))
    await fleet.wait_for_slots(7)
    platform.publish(make_upstream(slots=1, revision=1))

    new_daemon = await fleet.add("newborn")
    new_daemon.run()
    await wait_until(lambda: new_daemon.source.ready)

    assert new_daemon.view.upstreams["order-desk"][0].slots == 7


async def test_a_platform_outage_leaves_all_records_in_force(fleet, platform):
    platform.fail()
    await fleet.stop(*watchers_of(fleet))

    assert set(fleet.slots().values()) == {1}
    platform.fail(False)
    platform.publish(make_upstream(slots=2, revision=2))
    await fleet.wait_for_slots(2)


async def test_a_partitioned_fleet_converges_after_reconnection(fleet, platform):
    partitioned = [id for id in fleet.participants if id.startswith("erongo-2")]
    records = dict(platform.records)
    await fleet.stop(*partitioned)
    platform.publish(make_upstream(slots=9, revision=5))
    await fleet.wait_for_slots(9)

    platform.records = records
    for number in range(3):
        await fleet.add(f"erongo-2-c{number}", failure_domain="erongo-2")
    fleet.run()

    await fleet.wait_for_slots(9)


async def test_a_new_watcher_is_reported(fleet):
    watcher = fleet[watchers_of(fleet)[0]]

    assert WatcherChanged(is_watcher=True) in watcher.events


async def test_a_former_watcher_keeps_following_changes(platform, monkeypatch):
    monkeypatch.setattr(
        "daisygauge_control._subscription_manager.STOP_WATCHING_AFTER_SECONDS", 0.1
    )
    platform.publish(make_key(), make_service(), make_upstream(slots=1))
    async with run_fleet(platform) as fleet:
        for number in range(3):
            await fleet.add(f"b{number}")
        fleet.run()
        await wait_until(lambda: len(watchers_of(fleet)) == 3)

        for number in range(3, 12):
            await fleet.add(f"b{number}")
        fleet.run()
        first = [fleet[f"b{number}"].source.node for number in range(3)]
        await wait_until(lambda: not all(node.is_watcher for node in first))
        platform.publish(make_upstream(slots=5, revision=2))

        await fleet.wait_for_slots(5)
        assert not any(p.task.done() for p in fleet.participants.values())
