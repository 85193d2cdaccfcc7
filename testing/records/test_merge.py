import random

from hypothesis import given, settings, strategies as st

from daisygauge_records import (
    Applied,
    Conflict,
    Outdated,
    Record,
    RecordStore,
    Unchanged,
    merge_records,
)


def make_record(id="a", revision=1, digest="00"):
    return Record(kind="key", id=id, revision=revision, spec=None, digest=digest)


RECORDS = st.builds(
    make_record,
    id=st.sampled_from("ab"),
    revision=st.integers(1, 4),
    digest=st.sampled_from(["00", "01", "02"]),
)
RECORDS_OF_ONE_ID = st.builds(
    make_record,
    revision=st.integers(1, 4),
    digest=st.sampled_from(["00", "01", "02"]),
)


def merge_all(records):
    store = RecordStore()
    for record in records:
        store.apply(record)
    return store.records


@settings(derandomize=True)
@given(first=RECORDS_OF_ONE_ID, second=RECORDS_OF_ONE_ID)
def test_the_merge_is_commutative(first, second):
    assert merge_records(first, second) == merge_records(second, first)


@settings(derandomize=True)
@given(first=RECORDS_OF_ONE_ID, second=RECORDS_OF_ONE_ID, third=RECORDS_OF_ONE_ID)
def test_the_merge_is_associative(first, second, third):
    left = merge_records(merge_records(first, second), third)
    right = merge_records(first, merge_records(second, third))

    assert left == right


@settings(derandomize=True)
@given(record=RECORDS_OF_ONE_ID)
def test_the_merge_is_idempotent(record):
    assert merge_records(record, record) == record


@settings(derandomize=True)
@given(records=st.lists(RECORDS), seed=st.integers())
def test_stores_converge_despite_reordered_and_duplicated_records(records, seed):
    rng = random.Random(seed)
    shuffled = records + [record for record in records if rng.random() < 0.5]
    rng.shuffle(shuffled)

    assert merge_all(shuffled) == merge_all(records)


@settings(derandomize=True)
@given(records=st.lists(RECORDS))
def test_a_store_never_reverts_to_an_older_record(records):
    store = RecordStore()
    highest = {}
    for record in records:
        store.apply(record)
        order = (record.revision, record.digest)
        highest[record.id] = max(highest.get(record.id, order), order)
        stored = store.records["key", record.id]

        assert (stored.revision, stored.digest) == highest[record.id]


def test_applying_a_record_returns_the_outcome_of_the_merge():
    store = RecordStore()
    first = make_record(revision=1)
    second = make_record(revision=2, digest="01")
    lower = make_record(revision=2, digest="00")

    assert store.apply(first) == Applied(record=first, replaced=None)
    assert store.apply(second) == Applied(record=second, replaced=first)
    assert store.apply(second) == Unchanged(record=second)
    assert store.apply(first) == Outdated(record=first, in_force=second)
    assert store.apply(lower) == Conflict(kept=second, dropped=lower)
