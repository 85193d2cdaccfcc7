from attrs import evolve
from control.fakes import make_instance
from hypothesis import given, settings, strategies as st

from daisygauge_control import Member
from daisygauge_control._seats import (
    SEATS_PER_DOMAIN,
    choose_seats,
    make_plan,
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
    return make_plan(member_of(instance), tuple(fleet.values()), suspects=suspects)


def test_each_domain_has_its_seats_among_balancers():
    fleet = make_fleet()
    seats = [entry for entry in fleet.values() if plan_of(entry, fleet).seat]

    for domain in range(4):
        own = [seat for seat in seats if seat.failure_domain == f"erongo-{domain}"]
        assert len(own) == SEATS_PER_DOMAIN
    assert {seat.role for seat in seats} == {Role.BALANCER}


def test_the_number_of_seats_does_not_grow_with_the_fleet():
    for balancers in (4, 40):
        fleet = make_fleet(balancers=balancers)

        seats = [entry for entry in fleet.values() if plan_of(entry, fleet).seat]

        assert len(seats) == 4 * SEATS_PER_DOMAIN


def test_a_leaving_balancer_gives_up_its_seat_and_a_suspect_is_passed_over():
    fleet = make_fleet(domains=1)
    first, second, *_ = choose_seats(fleet.values(), failure_domain="erongo-0")
    fleet[first.id] = evolve(first, leaving=True)

    seats = choose_seats(
        fleet.values(), failure_domain="erongo-0", suspects={second.id}
    )

    assert len(seats) == SEATS_PER_DOMAIN
    assert not {first.id, second.id} & {seat.id for seat in seats}


def test_a_domain_without_balancers_follows_seats_of_others():
    fleet = make_fleet(domains=2)
    lone = make_instance("lone", role=Role.AGENT, failure_domain="erongo-9")
    fleet["lone"] = lone

    plan = plan_of(lone, fleet)

    assert not plan.seat
    assert len({link.failure_domain for link in plan.links}) == 2


@settings(derandomize=True, max_examples=50)
@given(data=st.data(), domains=st.integers(1, 5), balancers=st.integers(1, 5))
def test_a_change_read_by_one_seat_reaches_every_daemon(data, domains, balancers):
    fleet = make_fleet(domains=domains, balancers=balancers, agents=2)
    dead = data.draw(st.sets(st.sampled_from(sorted(fleet)), max_size=len(fleet) // 2))
    alive = {id: entry for id, entry in fleet.items() if id not in dead}
    plans = {id: plan_of(entry, fleet, dead) for id, entry in alive.items()}
    seats = [id for id, plan in plans.items() if plan.seat]
    if not seats:
        return
    reached = {data.draw(st.sampled_from(seats))}
    for _ in range(len(alive)):
        reached |= {
            id
            for id, plan in plans.items()
            if any(link.id in reached for link in plan.links)
        }

    assert reached == set(alive)


def test_an_agent_is_sent_a_bounded_part_of_the_list():
    fleet = make_fleet(balancers=50, agents=50)
    agent = fleet["agent-erongo-1-3"]

    part = select_instances(fleet, member=member_of(agent), upstreams=[agent.id])

    assert agent.id in part
    assert len(part) <= 25
    seats = choose_seats(fleet.values(), failure_domain="erongo-1")
    assert {seat.id for seat in seats} <= set(part)
