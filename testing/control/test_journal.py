import random

from hypothesis import given, settings, strategies as st

from daisygauge_control import ALL_SERVICES
from daisygauge_control._journal import MAX_CHANGES, Journal
from daisygauge_records import Endpoint, Record, RecordStore, Upstream

ENDPOINT = Endpoint(host="10.0.0.1", port=1)


def make_record(id="a", revision=1, service="s", deleted=False):
    spec = Upstream(
        id=id, service=service, agent=ENDPOINT, peer_port=1, failure_domain="x"
    )
    return Record(
        kind="upstream",
        id=id,
        revision=revision,
        spec=None if deleted else spec,
        digest=f"{service}{deleted}",
    )


RECORDS = st.builds(
    make_record,
    id=st.sampled_from("abc"),
    revision=st.integers(1, 4),
    service=st.sampled_from("st"),
    deleted=st.booleans(),
)


def follow(records):
    store, journal = RecordStore(), Journal()
    for record in records:
        store.apply(record)
        if store.records[record.kind, record.id] is record:
            journal.note(record)
    return store, journal


@settings(derandomize=True)
@given(records=st.lists(RECORDS), seed=st.integers())
def test_equal_stores_have_equal_digests_whatever_their_past(records, seed):
    shuffled = list(records)
    random.Random(seed).shuffle(shuffled)
    _, first = follow(records)
    _, second = follow(shuffled)

    assert first.bucket_digests() == second.bucket_digests()
    for service in ("s", "t", ALL_SERVICES):
        assert first.summarize(service=service) == second.summarize(service=service)


def test_a_moved_record_changes_both_services():
    _, journal = follow([make_record(), make_record(service="t", revision=2)])

    assert journal.changes_after(1)[0].groups == {"s", "t"}


def test_forgotten_changes_are_told_apart_from_none():
    journal = Journal()
    for revision in range(1, MAX_CHANGES + 3):
        journal.note(make_record(revision=revision))

    assert journal.changes_after(journal.sequence) == []
    assert len(journal.changes_after(journal.sequence - MAX_CHANGES)) == MAX_CHANGES
    assert journal.changes_after(1) is None
