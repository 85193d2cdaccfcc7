from attrs import evolve
from control.fakes import make_instance
from hypothesis import given, settings, strategies as st

from daisygauge_control import Member
from daisygauge_control._watchers import (
    WATCHERS_PER_DOMAIN,
    choose_watchers,
    plan_subscriptions,
    select_instances,
)
from daisygauge_records import Role


def make_fleet(*, domains=4, balancers=6, agents=4):
    instances = [
        make_instance(f"{kind.value}-{domain}-{n}", role=kind, failure_domain=domain)
        for domain in [f"erongo-{index}" for index in range(domains)]
        for kind, count in ((Role.BALANCER, balancers), (Role.AGENT, agents))
        for n in range(count)
    ]
    return {instance.id: instance for instance in instances}


def member_of(instance):
    return Member(
        id=instance.id,
        role=instance.role,
        region=instance.region,
        failure_domain=instance.failure_domain,
    )


def plan_of(instance, fleet, suspects=()):
    return plan_subscriptions(
        member_of(instance), tuple(fleet.values()), suspects=suspects
    )


def test_each_domain_has_watchers_among_its_balancers():
    fleet = make_fleet()
    watchers = [entry for entry in fleet.values() if plan_of(entry, fleet).is_watcher]

    for domain in range(4):
        own = [
            watcher
            for watcher in watchers
            if watcher.failure_domain == f"erongo-{domain}"
        ]
        assert len(own) == WATCHERS_PER_DOMAIN
    assert {watcher.role for watcher in watchers} == {Role.BALANCER}


def test_the_number_of_watchers_does_not_grow_with_the_fleet():
    for balancers in (4, 40):
        fleet = make_fleet(balancers=balancers)

        watchers = [
            entry for entry in fleet.values() if plan_of(entry, fleet).is_watcher
        ]

        assert len(watchers) == 4 * WATCHERS_PER_DOMAIN


def test_leaving_and_suspect_balancers_are_no_watchers():
    fleet = make_fleet(domains=1)
    first, second, *_ = choose_watchers(fleet.values(), failure_domain="erongo-0")
    fleet[first.id] = evolve(first, leaving=True)

    watchers = choose_watchers(
        fleet.values(), failure_domain="erongo-0", suspects={second.id}
    )

    assert len(watchers) == WATCHERS_PER_DOMAIN
    assert not {first.id, second.id} & {watcher.id for watcher in watchers}


def test_a_domain_without_balancers_follows_watchers_of_other_domains():
    fleet = make_fleet(domains=2)
    lone = make_instance("lone", role=Role.AGENT, failure_domain="erongo-9")
    fleet["lone"] = lone

    plan = plan_of(lone, fleet)

    assert not plan.is_watcher
    assert len({peer.failure_domain for peer in plan.peers}) == 2


@settings(derandomize=True, max_examples=50)
@given(data=st.data(), domains=st.integers(1, 5), balancers=st.integers(1, 5))
def test_a_change_read_by_one_watcher_reaches_every_daemon(data, domains, balancers):
    fleet = make_fleet(domains=domains, balancers=balancers, agents=2)
    failed = data.draw(
        st.sets(st.sampled_from(sorted(fleet)), max_size=len(fleet) // 2)
    )
    alive = {id: entry for id, entry in fleet.items() if id not in failed}
    plans = {id: plan_of(entry, fleet, failed) for id, entry in alive.items()}
    watchers = [id for id, plan in plans.items() if plan.is_watcher]
    if not watchers:
        return
    reached = {data.draw(st.sampled_from(watchers))}
    for _ in range(len(alive)):
        reached |= {
            id
            for id, plan in plans.items()
            if any(peer.id in reached for peer in plan.peers)
        }

    assert reached == set(alive)


def test_an_agent_receives_a_bounded_part_of_the_instance_list():
    fleet = make_fleet(balancers=50, agents=50)
    agent = fleet["agent-erongo-1-3"]

    part = select_instances(fleet, member=member_of(agent), upstreams=[agent.id])

    assert agent.id in part
    assert len(part) <= 25
    watchers = choose_watchers(fleet.values(), failure_domain="erongo-1")
    assert {watcher.id for watcher in watchers} <= set(part)
