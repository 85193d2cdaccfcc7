import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_control import (
    Directory,
    DirectoryItem,
    EvacuationRecord,
    HostRecord,
    HostState,
    RouteRecord,
    RoutingRecord,
    ServiceShare,
    UnusableRecord,
)


def host(
    id="h1", *, service="desk", address="10.0.0.1", state=HostState.READY, incarnation=1
):
    return HostRecord(
        id=id, service=service, address=address, port=80, failure_domain="a",
        state=state, slots=2, incarnation=incarnation,
    )  # fmt: skip


def item(key, revision, content=None):
    return DirectoryItem(key=key, revision=revision, content=content)


def routing(version, port=443, *, services=("desk",)):
    shares = tuple(ServiceShare(service=name) for name in services)
    route = RouteRecord(name="r", host="198.18.0.1", port=port, shares=shares)
    return RoutingRecord(version=version, routes=(route,), idle_timeout_seconds=9.0)


@pytest.fixture
def directory():
    directory = Directory()
    directory.replace([item("s/h1", 5, host())], as_of=9, now=0.0)
    return directory


def ids(directory):
    return [entry.id for entry in directory.view.hosts.get("desk", ())]


def test_an_older_change_does_not_replace_a_newer_one(directory):
    directory.apply(
        [item("s/h1", 7, host(state=HostState.DRAINING))], as_of=10, now=1.0
    )
    directory.apply([item("s/h1", 6, host())], as_of=10, now=2.0)

    (entry,) = directory.view.hosts["desk"]
    assert entry.state is HostState.DRAINING


def test_an_older_configuration_is_ignored(directory):
    directory.apply([item("config", 20, routing(4))], as_of=20, now=0.0)
    directory.apply([item("config", 21, routing(3, port=80))], as_of=21, now=0.0)

    assert directory.view.version == 4
    assert ("198.18.0.1", 443) in directory.view.routes


def test_an_unusable_configuration_keeps_the_last_one(directory):
    directory.apply([item("config", 20, routing(4))], as_of=20, now=0.0)
    directory.apply(
        [item("config", 21, UnusableRecord(problem="x"))], as_of=21, now=0.0
    )

    assert directory.view.version == 4


def test_an_unusable_entry_defines_no_host(directory):
    directory.apply([item("s/h1", 20, UnusableRecord(problem="x"))], as_of=20, now=0.0)

    assert ids(directory) == []


def test_a_removed_host_is_dropped_at_once(directory):
    directory.apply([item("s/h1", 20)], as_of=20, now=1.0)

    assert ids(directory) == []


def test_a_host_that_lapsed_during_an_outage_is_kept_for_two_seconds(directory):
    directory.record_outage(now=1.0)
    directory.apply([item("s/h1", 20)], as_of=20, now=2.0)

    assert ids(directory) == ["h1"]
    assert directory.expire(now=3.9) == ()
    assert directory.expire(now=4.0) == ("h1",)
    assert ids(directory) == []


def test_a_lapsed_host_that_comes_back_is_kept(directory):
    directory.record_outage(now=1.0)
    directory.apply([item("s/h1", 20)], as_of=20, now=2.0)
    directory.apply([item("s/h1", 21, host())], as_of=21, now=3.0)

    assert directory.expire(now=9.0) == ()
    assert ids(directory) == ["h1"]


def test_a_draining_host_that_lapsed_is_dropped_at_once(directory):
    directory.apply(
        [item("s/h1", 19, host(state=HostState.DRAINING))], as_of=19, now=0.5
    )
    directory.record_outage(now=1.0)
    directory.apply([item("s/h1", 20)], as_of=20, now=2.0)

    assert ids(directory) == []


def test_a_full_read_removes_missing_entries(directory):
    directory.replace([item("s/h2", 30, host("h2"))], as_of=31, now=1.0)

    assert ids(directory) == ["h2"]


def test_a_full_read_keeps_newer_entries(directory):
    directory.apply([item("s/h3", 40, host("h3"))], as_of=40, now=1.0)
    directory.replace([item("s/h1", 5, host())], as_of=31, now=2.0)

    assert ids(directory) == ["h1", "h3"]


def test_an_address_belongs_to_the_host_that_started_last(directory):
    directory.apply([item("config", 29, routing(1))], as_of=29, now=1.0)
    directory.apply([item("s/h2", 30, host("h2", incarnation=2))], as_of=30, now=1.0)

    assert directory.view.hosts_by_address["10.0.0.1"].id == "h2"
    assert directory.view.has_replaced_host


def host_at_address(directory):
    return directory.view.hosts_by_address["10.0.0.1"].id


def test_an_entry_of_an_unnamed_service_displaces_no_host(directory):
    """Another program may register itself beside a live host."""
    foreign = host("h2", service="node-exporter", incarnation=2)
    directory.apply([item("s/h2", 30, foreign)], as_of=30, now=1.0)
    directory.apply([item("config", 31, routing(1))], as_of=31, now=1.0)

    assert host_at_address(directory) == "h1"


def test_an_entry_of_an_unnamed_service_does_not_show_that_no_host_lapsed(directory):
    """It may be older than an outage, and a wrong proof resets open flows."""
    foreign = host("h2", service="node-exporter", incarnation=2)
    directory.apply([item("s/h2", 30, foreign)], as_of=30, now=1.0)
    directory.apply([item("config", 31, routing(1))], as_of=31, now=1.0)

    assert not directory.view.has_replaced_host
    assert not directory.lists_every_host(now=1.0)


def test_a_host_whose_service_is_named_later_gets_its_reused_address(directory):
    directory.apply([item("config", 29, routing(1))], as_of=29, now=1.0)
    later = host("h2", service="press", incarnation=2)
    directory.apply([item("s/h2", 30, later)], as_of=30, now=1.0)
    assert host_at_address(directory) == "h1"

    named = routing(2, services=("desk", "press"))
    directory.apply([item("config", 31, named)], as_of=31, now=2.0)

    assert host_at_address(directory) == "h2"


def test_a_host_of_a_withdrawn_service_keeps_its_address(directory):
    """Flows that were opened under the older version are still there."""
    directory.apply([item("config", 29, routing(1))], as_of=29, now=1.0)
    moved = routing(2, services=("press",))
    directory.apply([item("config", 30, moved)], as_of=30, now=1.0)
    foreign = host("h2", service="node-exporter", incarnation=2)
    directory.apply([item("s/h2", 31, foreign)], as_of=31, now=1.0)

    assert host_at_address(directory) == "h1"


def test_a_new_process_does_not_list_every_host_at_once(directory):
    assert not directory.lists_every_host(now=1.0)
    directory.apply([], as_of=9, now=3.0)
    assert directory.lists_every_host(now=3.0)


def test_not_every_host_is_listed_after_a_platform_outage(directory):
    directory.apply([], as_of=9, now=3.0)
    directory.record_outage(now=3.0)

    assert not directory.lists_every_host(now=3.5)


def test_not_every_host_is_listed_by_old_data(directory):
    directory.apply([], as_of=9, now=3.0)

    assert not directory.lists_every_host(now=6.0)


CHANGES = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.integers(0, 2)),
    max_size=20,
)


@given(CHANGES, st.randoms())
def test_the_order_of_changes_does_not_matter(changes, rng):
    contents = (None, host(), host(state=HostState.DRAINING))
    first = {(key, revision): contents[n] for key, revision, n in changes}
    items = [item(key, revision, content) for (key, revision), content in first.items()]
    shuffled = list(items)
    rng.shuffle(shuffled)

    one, other = Directory(), Directory()
    one.apply(items, as_of=30, now=0.0)
    for change in shuffled:
        other.apply([change], as_of=30, now=0.0)

    assert one.view.hosts == other.view.hosts


def evacuation(revision, domain="a"):
    return item(
        f"op/evacuate/{domain}", revision, EvacuationRecord(failure_domain=domain)
    )


def test_an_evacuation_holds_until_its_key_is_removed(directory):
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    assert directory.view.evacuated == {"a"}

    directory.apply([item("op/evacuate/a", 11)], as_of=11, now=2.0)
    assert directory.view.evacuated == frozenset()


def test_overlapping_evacuations_end_separately(directory):
    directory.apply([evacuation(10), evacuation(11, "b")], as_of=11, now=1.0)
    directory.apply([item("op/evacuate/a", 12)], as_of=12, now=2.0)

    assert directory.view.evacuated == {"b"}


def test_an_evacuation_survives_a_change_of_the_configuration(directory):
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    directory.apply([item("config", 20, routing(4))], as_of=20, now=2.0)

    assert directory.view.evacuated == {"a"}


def test_an_end_that_the_history_lacks_is_found_by_a_full_read(directory):
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    directory.replace([item("s/h1", 5, host())], as_of=30, now=2.0)

    assert directory.view.evacuated == frozenset()


def test_an_end_during_an_outage_takes_effect_at_once(directory):
    """Unlike a host, the key has no lease that an outage could let expire."""
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    directory.record_outage(now=1.0)
    directory.apply([item("op/evacuate/a", 11)], as_of=11, now=2.0)

    assert directory.view.evacuated == frozenset()


def test_a_read_of_hosts_alone_ends_no_evacuation(directory):
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    directory.apply([item("s/h1", 5, host())], as_of=0, now=2.0)

    assert directory.view.evacuated == {"a"}


def test_a_source_that_lags_ends_no_evacuation(directory):
    directory.apply([evacuation(10)], as_of=10, now=1.0)
    directory.replace([item("s/h1", 5, host())], as_of=9, now=2.0)

    assert directory.view.evacuated == {"a"}


EVACUATION_CHANGES = st.lists(
    st.tuples(st.sampled_from("ab"), st.booleans()), min_size=1, max_size=8
)


@given(EVACUATION_CHANGES, st.randoms(), st.integers(0, 8))
@settings(deadline=None)
def test_a_process_that_was_frozen_merges_by_revision(changes, rng, missed):
    """Starts and ends in any order, with a full read for those that were missed."""
    items = [
        evacuation(10 + n, domain) if begins else item(f"op/evacuate/{domain}", 10 + n)
        for n, (domain, begins) in enumerate(changes)
    ]
    latest = {change.key: change for change in items}
    late = items[min(missed, len(items)) :]
    rng.shuffle(late)
    as_of = 9 + len(items)

    directory = Directory()
    directory.replace([], as_of=9, now=0.0)
    for change in late:
        directory.apply([change], as_of=9, now=1.0)
    directory.replace(
        [change for change in latest.values() if change.content is not None],
        as_of=as_of,
        now=2.0,
    )

    assert directory.view.evacuated == {
        change.content.failure_domain
        for change in latest.values()
        if change.content is not None
    }
