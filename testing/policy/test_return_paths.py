import collections

from hypothesis import given, strategies as st

from daisygauge_policy import ReturnPaths
from daisygauge_records import Endpoint, Instance, Role


def make_balancer(number, *, domains=4, leaving=False):
    return Instance(
        id=f"balancer-{number}",
        role=Role.BALANCER,
        inner=Endpoint(host="127.30.1.1", port=7000 + number),
        peer_port=9000,
        region="erongo",
        failure_domain=f"erongo-{number % domains + 1}",
        leaving=leaving,
    )


def make_paths(count, agent="host-1"):
    paths = ReturnPaths(agent=agent)
    paths.update_balancers([make_balancer(number) for number in range(count)])
    return paths


def test_replies_are_spread_over_all_balancers_that_answer():
    paths = make_paths(3)
    for path in paths.known:
        paths.report_answer(path, now=10.0)

    counts = collections.Counter(paths.choose(now=10.5) for _ in range(30))

    assert sorted(counts.values()) == [10, 10, 10]


def test_a_dead_balancer_is_not_used_after_a_second():
    paths = make_paths(3)
    for path in paths.known:
        paths.report_answer(path, now=10.0)
    for path in paths.known[1:]:
        paths.report_answer(path, now=11.0)

    assert paths.known[0] in paths.usable(now=11.0)
    assert paths.known[0] not in paths.usable(now=11.1)


def test_all_known_balancers_are_used_when_none_answers():
    paths = make_paths(3)

    assert {paths.choose(now=10.0) for _ in range(9)} == set(paths.known)


def test_without_balancers_there_is_no_path():
    assert ReturnPaths(agent="host-1").choose(now=10.0) is None


def test_a_balancer_that_never_answers_probes_gets_no_replies():
    paths = make_paths(2)

    paths.report_answer(paths.known[0], now=10.0)

    assert {paths.choose(now=10.0) for _ in range(4)} == {paths.known[0]}


def test_probes_spread_over_failure_domains_and_stay_bounded():
    paths = make_paths(100)
    for path in paths.known:
        paths.report_answer(path, now=10.0)

    targets = paths.probe_targets(now=10.0)

    domains = collections.Counter((path.port - 7000) % 4 for path in targets)
    assert sorted(domains.values()) == [2, 2, 2, 2]


def test_more_balancers_are_probed_when_most_are_silent():
    paths = make_paths(100)
    for path in paths.known[:3]:
        paths.report_answer(path, now=10.0)

    assert len(paths.probe_targets(now=10.0)) == 16


def test_agents_of_a_large_fleet_use_different_balancers():
    used = collections.Counter(
        path
        for agent in range(400)
        for path in make_paths(40, agent=f"host-{agent}").probe_targets(now=0.0)
    )

    assert len(used) == 40


def test_a_leaving_balancer_is_used_only_when_no_other_answers():
    paths = ReturnPaths(agent="host-1")
    leaving, staying = make_balancer(0, leaving=True), make_balancer(1)
    paths.update_balancers([leaving, staying])
    paths.report_answer(leaving.inner, now=2.0)
    paths.report_answer(staying.inner, now=1.0)

    assert paths.usable(now=2.0) == (staying.inner,)
    assert paths.usable(now=2.5) == (leaving.inner,)


@given(known=st.sets(st.integers(0, 30)), answered=st.sets(st.integers(0, 30)))
def test_only_known_balancers_are_ever_chosen(known, answered):
    paths = ReturnPaths(agent="host-1")
    for number in answered:
        paths.report_answer(make_balancer(number).inner, now=1.0)
    paths.update_balancers([make_balancer(number) for number in known])

    usable = paths.usable(now=1.0)

    assert {path.port - 7000 for path in usable} == (known & answered or known)
