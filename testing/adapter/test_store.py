import base64
import json

import pytest
from hypothesis import given, strategies as st

from adapter.store import FakeStore
from daisygauge_control import (
    EvacuationRecord,
    HistoryLostError,
    HostRecord,
    HostState,
    HttpClient,
    PlatformUnavailableError,
    RoutingRecord,
    UnusableRecord,
)
from daisygauge_platform._entries import decode_item
from daisygauge_platform._store import StoreReader

HOST = "127.61.0.1"
PORT = 18_269
ENTRY = {
    "service": "desk", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
    "capacity": 2, "state": "ready", "coldRemainingMs": 500, "sequence": 4, "born": 17,
}  # fmt: skip
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(ENTRY)) | st.text(max_size=4), inner)
    ),
    max_leaves=12,
)


def make_entry(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"key": key, "revision": 9, "value": base64.b64encode(raw).decode()}


@pytest.fixture
async def store():
    store = FakeStore()
    await store.start(HOST, PORT)
    yield store
    await store.stop()


@pytest.fixture
async def reader(store):
    reader = StoreReader(client=HttpClient(host=HOST, port=PORT))
    yield reader
    await reader.close()


def test_an_entry_is_decoded_into_a_host():
    item = decode_item(make_entry("servers/h-1", ENTRY))

    assert item.content == HostRecord(
        id="h-1", service="desk", address="10.0.0.1", port=80, failure_domain="a",
        state=HostState.READY, slots=2, slow_start_seconds=0.5, incarnation=17,
    )  # fmt: skip


@pytest.mark.parametrize("field", ["health", "status", "check", "healthy"])
@pytest.mark.parametrize("value", ["good", "bad", False, None])
def test_a_host_s_report_of_its_health_decides_nothing(field, value):
    """Some hosts report bad health and are healthy, and others the reverse."""
    reported = decode_item(make_entry("servers/h-1", ENTRY | {field: value}))

    assert reported == decode_item(make_entry("servers/h-1", ENTRY))


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": "10.0.0.1"},
        {"address": 7},
        {"capacity": "2"},
        {"capacity": True},
        {"service": None},
    ],
)
def test_an_entry_with_an_invalid_field_is_unusable(change):
    assert isinstance(
        decode_item(make_entry("servers/h-1", ENTRY | change)).content, UnusableRecord
    )


@given(JSON)
def test_any_document_is_a_host_or_unusable(document):
    content = decode_item(make_entry("servers/h", document)).content

    assert isinstance(content, HostRecord | UnusableRecord)


@given(JSON)
def test_any_configuration_is_routes_or_unusable(document):
    content = decode_item(make_entry("op/config", document)).content

    assert isinstance(content, RoutingRecord | UnusableRecord)


@given(st.binary(max_size=60))
def test_any_bytes_are_a_host_or_unusable(data):
    content = decode_item(make_entry("servers/h", data)).content

    assert isinstance(content, HostRecord | UnusableRecord)


@pytest.mark.parametrize("value", [b"", b"\xff{", b"[]", b'{"zone": "b"}'])
def test_the_key_of_an_evacuation_alone_counts(value):
    """An unreadable value must not keep an evacuation from taking effect."""
    content = decode_item(make_entry("op/evacuate/zone-a", value)).content

    assert content == EvacuationRecord(failure_domain="zone-a")


def test_an_evacuation_without_a_value_is_decoded():
    item = decode_item({"key": "op/evacuate/a/b", "revision": 4})

    assert item.content == EvacuationRecord(failure_domain="a/b")


def test_an_evacuation_that_names_no_failure_domain_is_unusable():
    content = decode_item(make_entry("op/evacuate/", {})).content

    assert isinstance(content, UnusableRecord)


async def test_evacuations_are_read_and_watched(store, reader):
    """A key that only one of the two ways reads would be in force in some processes."""
    store.put("servers/h-1", ENTRY)
    store.put("op/evacuate/a", b"not JSON")
    store.put("op/evacuated", {})
    update = await reader.read_all()
    store.remove("op/evacuate/a")
    store.put("op/evacuate/b", {})

    changes = await reader.watch(after=update.as_of, wait_seconds=1.0)

    assert [item.key for item in update.items] == ["op/evacuate/a", "servers/h-1"]
    assert [(item.key, item.content) for item in changes.items] == [
        ("op/evacuate/a", None),
        ("op/evacuate/b", EvacuationRecord(failure_domain="b")),
    ]


def test_a_route_with_weights_is_decoded():
    route = {
        "name": "r", "host": "198.18.0.1", "prefix": "/8443/", "type": "safe",
        "timeoutMs": 800, "targetLatencyMs": 143, "priority": 2,
        "weightedServices": [
            {"service": "a", "weight": 90}, {"service": "b", "weight": 10},
        ],
    }  # fmt: skip
    config = {"version": 7, "routes": [route], "limits": {"idleTimeoutMs": 15000}}

    (decoded,) = decode_item(make_entry("op/config", config)).content.routes

    assert [(share.service, share.weight) for share in decoded.shares] == [
        ("a", 90),
        ("b", 10),
    ]
    assert (decoded.port, decoded.idempotent, decoded.target_latency_seconds) == (
        8443,
        True,
        0.143,
    )


async def test_read_hosts_does_not_return_the_configuration(store, reader):
    for number in range(7):
        store.put(f"servers/h-{number}", ENTRY)
    store.put("op/config", {"version": 1, "routes": []})

    update = await reader.read_hosts()

    assert len(update.items) == 7
    assert all(isinstance(item.content, HostRecord) for item in update.items)


async def test_all_pages_are_read(store, reader):
    for number in range(8):
        store.put(f"servers/h-{number}", ENTRY)
    store.put("other/key", {})

    update = await reader.read_all()

    assert len(update.items) == 8
    assert update.as_of == store.revision


async def test_a_watch_returns_removals(store, reader):
    store.put("servers/h-1", ENTRY)
    update = await reader.read_all()
    store.remove("servers/h-1")

    changes = await reader.watch(after=update.as_of, wait_seconds=1.0)

    assert [(item.key, item.content) for item in changes.items] == [
        ("servers/h-1", None)
    ]


async def test_a_watch_from_a_dropped_revision_raises_history_lost(store, reader):
    store.put("servers/h-1", ENTRY)
    store.compact()

    with pytest.raises(HistoryLostError):
        await reader.watch(after=100, wait_seconds=0.1)


@pytest.mark.parametrize("mode", ["busy", "garbled", "silent"])
async def test_a_failing_store_is_unavailable_until_it_recovers(store, reader, mode):
    store.mode = mode
    with pytest.raises(PlatformUnavailableError):
        await reader.watch(after=100, wait_seconds=0.1)
    store.mode = "up"

    assert (await reader.read_all()).as_of == 100


async def test_a_store_that_does_not_listen_is_unavailable():
    reader = StoreReader(client=HttpClient(host=HOST, port=PORT + 1))

    with pytest.raises(PlatformUnavailableError):
        await reader.read_all()
