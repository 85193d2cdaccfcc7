import json
import random

from control.fakes import (
    make_entry,
    make_instance,
    make_key,
    make_service,
    make_upstream,
)
from hypothesis import given, settings, strategies as st

from daisygauge_control import (
    ConfigurationChanged,
    ConfigurationState,
    RecordRefused,
    RevisionConflict,
)
from daisygauge_control._member import Member
from daisygauge_control._messages import make_hello, select_missing
from daisygauge_records import Role


def make_state(*entries):
    state = ConfigurationState()
    state.apply_records(entries)
    return state


def test_a_view_holds_services_upstreams_and_keys():
    state = make_state(
        make_service(), make_upstream("u2"), make_upstream("u1"), make_key()
    )

    assert list(state.view.services) == ["order-desk"]
    assert [u.id for u in state.view.upstreams["order-desk"]] == ["u1", "u2"]
    assert list(state.view.keys.keys) == [1]


def test_the_version_increases_only_with_a_change_of_the_view():
    state = make_state(make_service())
    version = state.view.version

    assert not state.apply_records([make_service()])
    assert not state.apply_records([make_service(revision=2)])
    assert state.view.version == version
    assert state.apply_records([make_service(revision=3, number=2)])
    assert state.view.version == version + 1


def test_an_unchanged_key_keeps_its_derived_form():
    state = make_state(make_key())
    keys = state.view.keys

    state.apply_records([make_service()])

    assert state.view.keys is keys


def test_an_older_revision_published_again_changes_nothing():
    state = make_state(make_upstream(slots=4, revision=2))

    state.apply_records([make_upstream(slots=2, revision=1)])

    assert state.view.upstreams["order-desk"][0].slots == 4


def test_a_record_that_the_platform_lost_stays_in_force():
    state = make_state(make_service(), make_upstream())

    state.apply_records([make_service()])

    assert len(state.view.upstreams["order-desk"]) == 1


def test_a_tombstone_removes_a_record_permanently():
    state = make_state(make_upstream())

    state.apply_records([make_upstream(deleted=True, revision=2)])
    state.apply_records([make_upstream(revision=1)])

    assert state.view.upstreams == {}


def test_an_invalid_record_leaves_the_last_valid_one_in_force():
    state = make_state(make_upstream(slots=4))

    state.apply_records([make_upstream(slots=0, revision=2)])

    assert state.view.upstreams["order-desk"][0].slots == 4
    refused = state.refused["upstream/u1"]
    assert refused.problems[0].path == "spec.slots"

    state.apply_records([make_upstream(slots=3, revision=3)])

    assert state.view.upstreams["order-desk"][0].slots == 3
    assert state.refused == {}


def test_an_invalid_record_does_not_affect_the_others():
    state = make_state(make_entry("service", "bad", {}), make_service())

    assert list(state.view.services) == ["order-desk"]
    assert list(state.refused) == ["service/bad"]


def test_a_service_number_used_twice_is_refused_until_it_is_free():
    state = make_state(make_service("a"), make_service("b", host="10.0.0.2"))

    problem = state.refused["service/b"].problems[0]
    assert list(state.view.services) == ["a"]
    assert (problem.path, "service/a" in problem.message) == ("spec.number", True)

    state.apply_records([make_service("a", deleted=True, revision=2)])

    assert list(state.view.services) == ["b"]
    assert state.refused == {}


def test_a_service_address_used_twice_is_refused():
    state = make_state(make_service("a"), make_service("b", number=2))

    assert list(state.view.services) == ["a"]
    assert state.refused["service/b"].problems[0].path == "spec.address"


def test_a_key_number_used_twice_keeps_the_key_in_use():
    state = make_state(
        make_key("new", secret="6b" * 32, not_before=9), make_key("old", not_before=5)
    )

    assert state.view.keys.keys[1].not_before == 5
    assert list(state.refused) == ["key/new"]


def test_two_contents_of_one_revision_are_reported_and_settled():
    events = []
    state = ConfigurationState(observe=events.append)
    state.apply_records([make_upstream(slots=2), make_upstream(slots=3)])

    conflicts = [event for event in events if isinstance(event, RevisionConflict)]

    assert [conflict.name for conflict in conflicts] == ["upstream/u1"]
    assert conflicts[0].kept > conflicts[0].dropped


def test_changes_and_refusals_are_reported():
    events = []
    state = ConfigurationState(observe=events.append)

    state.apply_records([make_service(), make_key(secret="5a")])
    state.apply_records([make_service(), make_key(secret="5a")])

    assert [type(event) for event in events] == [RecordRefused, ConfigurationChanged]


def test_the_instance_list_is_replaced_as_a_whole():
    state = ConfigurationState()

    assert state.apply_instances([make_instance("b1"), make_instance("b2")])
    assert state.apply_instances([make_instance("b2", leaving=True)])
    assert not state.apply_instances([make_instance("b2", leaving=True)])
    assert state.view.instances == {"b2": make_instance("b2", leaving=True)}


ENTRIES = st.one_of(
    st.builds(
        make_service,
        st.sampled_from("abc"),
        number=st.integers(0, 3),
        revision=st.integers(1, 4),
        deleted=st.booleans(),
    ),
    st.builds(
        make_upstream,
        st.sampled_from("abc"),
        slots=st.integers(0, 3),
        revision=st.integers(1, 4),
        deleted=st.booleans(),
    ),
    st.builds(
        make_key,
        st.sampled_from("abc"),
        number=st.integers(0, 2),
        not_before=st.integers(0, 2),
        revision=st.integers(1, 4),
    ),
)


@settings(derandomize=True)
@given(entries=st.lists(ENTRIES, max_size=12), seed=st.integers())
def test_daemons_agree_whatever_the_order_of_arrival(entries, seed):
    rng = random.Random(seed)
    shuffled = entries + [entry for entry in entries if rng.random() < 0.5]
    rng.shuffle(shuffled)
    first, second = ConfigurationState(), ConfigurationState()
    first.apply_records(entries)
    for entry in shuffled:
        second.apply_records([entry])

    assert first.store.records == second.store.records
    assert first.view.services == second.view.services
    assert first.view.upstreams == second.view.upstreams
    assert list(first.view.keys.keys) == list(second.view.keys.keys)
    assert first.duplicates == second.duplicates


def make_follower(*entries):
    """Return the hello of a daemon of one service that holds more than 256 records."""
    others = [make_upstream(f"more-{n}") for n in range(300)]
    member = Member(
        id="a1", role=Role.AGENT, region="erongo", failure_domain="erongo-1",
        service="order-desk",
    )  # fmt: skip
    return make_hello(member, make_state(*others, *entries)), others


def missing_ids(hello, state):
    return {json.loads(document)["id"] for document in select_missing(hello, state)}


def test_a_follower_of_many_records_learns_that_an_upstream_left_its_service():
    hello, others = make_follower(make_upstream("moved"))
    state = make_state(*others, make_upstream("moved"))
    state.apply_records([make_upstream("moved", service="pattern-library", revision=2)])

    assert "moved" in missing_ids(hello, state)


def test_a_follower_of_many_records_learns_that_an_upstream_was_deleted():
    hello, others = make_follower(make_upstream("gone"))
    state = make_state(*others, make_upstream("gone", revision=2, deleted=True))

    assert "gone" in missing_ids(hello, state)


def test_a_follower_of_many_records_gets_none_of_another_service():
    hello, others = make_follower()
    state = make_state(*others, make_upstream("other", service="pattern-library"))

    assert "other" not in missing_ids(hello, state)
