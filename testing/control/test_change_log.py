import random

from hypothesis import given, settings, strategies as st

from daisygauge_control import ALL_SERVICES
from daisygauge_control._change_log import MAX_CHANGES, ChangeLog
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


def build_store(records):
    store, change_log = RecordStore(), ChangeLog()
    for record in records:
        store.apply(record)
        if store.records[record.kind, record.id] is record:
            change_log.record(record)
    return store, change_log


@settings(derandomize=True)
@given(records=st.lists(RECORDS), seed=st.integers())
def test_equal_stores_have_equal_digests_whatever_their_history(records, seed):
    shuffled = list(records)
    random.Random(seed).shuffle(shuffled)
    _, first = build_store(records)
    _, second = build_store(shuffled)

    assert first.bucket_digests() == second.bucket_digests()
    for service in ("s", "t", ALL_SERVICES):
        assert first.summarize(service=service) == second.summarize(service=service)


def test_a_moved_record_changes_both_services():
    _, change_log = build_store([make_record(), make_record(service="t", revision=2)])

    assert change_log.changes_after(1)[0].groups == {"s", "t"}


def test_dropped_changes_are_distinguished_from_no_changes():
    change_log = ChangeLog()
    for revision in range(1, MAX_CHANGES + 3):
        change_log.record(make_record(revision=revision))

    assert change_log.changes_after(change_log.sequence) == []
    assert (
        len(change_log.changes_after(change_log.sequence - MAX_CHANGES)) == MAX_CHANGES
    )
    assert change_log.changes_after(1) is None
