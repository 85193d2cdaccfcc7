import base64
import json

import pytest
from hypothesis import given, strategies as st

from adapter.store import StandInStore
from daisygauge_control import (
    HistoryLostError,
    HostRecord,
    HostState,
    HttpClient,
    PlatformUnavailableError,
    RoutingRecord,
    UnusableRecord,
)
from daisygauge_platform._entries import read_item
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


def stored(key, value):
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"key": key, "revision": 9, "value": base64.b64encode(raw).decode()}


@pytest.fixture
async def store():
    store = StandInStore()
    await store.start(HOST, PORT)
    yield store
    await store.stop()


@pytest.fixture
async def reader(store):
    reader = StoreReader(client=HttpClient(host=HOST, port=PORT))
    yield reader
    await reader.close()


def test_an_entry_is_decoded_into_a_host():
    item = read_item(stored("servers/h-1", ENTRY))

    assert item.content == HostRecord(
        id="h-1", service="desk", address="10.0.0.1", port=80, failure_domain="a",
        state=HostState.READY, slots=2, slow_start_seconds=0.5, incarnation=17,
    )  # fmt: skip


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
def test_an_entry_with_a_strange_field_names_no_host(change):
    assert isinstance(
        read_item(stored("servers/h-1", ENTRY | change)).content, UnusableRecord
    )


@given(JSON)
def test_any_document_is_a_host_or_unusable(document):
    content = read_item(stored("servers/h", document)).content

    assert isinstance(content, HostRecord | UnusableRecord)


@given(JSON)
def test_any_configuration_is_routes_or_unusable(document):
    content = read_item(stored("op/config", document)).content

    assert isinstance(content, RoutingRecord | UnusableRecord)


@given(st.binary(max_size=60))
def test_any_bytes_are_a_host_or_unusable(data):
    content = read_item(stored("servers/h", data)).content

    assert isinstance(content, HostRecord | UnusableRecord)


def test_a_route_with_weights_is_read():
    route = {
        "name": "r", "host": "198.18.0.1", "prefix": "/8443/", "type": "safe",
        "timeoutMs": 800, "targetLatencyMs": 143, "priority": 2,
        "weightedServices": [
            {"service": "a", "weight": 90}, {"service": "b", "weight": 10},
        ],
    }  # fmt: skip
    config = {"version": 7, "routes": [route], "limits": {"idleTimeoutMs": 15000}}

    (read,) = read_item(stored("op/config", config)).content.routes

    assert [(share.service, share.weight) for share in read.shares] == [
        ("a", 90),
        ("b", 10),
    ]
    assert (read.port, read.idempotent, read.target_latency_seconds) == (
        8443,
        True,
        0.143,
    )


async def test_hosts_are_read_without_the_configuration(store, reader):
    for number in range(7):
        store.put(f"servers/h-{number}", ENTRY)
    store.put("op/config", {"version": 1, "routes": []})

    reading = await reader.read_hosts()

    assert len(reading.items) == 7
    assert all(isinstance(item.content, HostRecord) for item in reading.items)


async def test_every_page_is_read(store, reader):
    for number in range(8):
        store.put(f"servers/h-{number}", ENTRY)
    store.put("other/key", {})

    reading = await reader.read_all()

    assert len(reading.items) == 8
    assert reading.as_of == store.revision


async def test_a_watch_tells_changes_and_removals(store, reader):
    store.put("servers/h-1", ENTRY)
    reading = await reader.read_all()
    store.remove("servers/h-1")

    changes = await reader.watch(after=reading.as_of, wait_seconds=1.0)

    assert [(item.key, item.content) for item in changes.items] == [
        ("servers/h-1", None)
    ]


async def test_dropped_history_is_told(store, reader):
    store.put("servers/h-1", ENTRY)
    store.compact()

    with pytest.raises(HistoryLostError):
        await reader.watch(after=100, wait_seconds=0.1)


@pytest.mark.parametrize("mode", ["busy", "garbled", "silent"])
async def test_a_failing_store_is_unavailable_and_usable_again(store, reader, mode):
    store.mode = mode
    with pytest.raises(PlatformUnavailableError):
        await reader.watch(after=100, wait_seconds=0.1)
    store.mode = "up"

    assert (await reader.read_all()).as_of == 100


async def test_a_store_that_is_not_there_is_unavailable():
    reader = StoreReader(client=HttpClient(host=HOST, port=PORT + 1))

    with pytest.raises(PlatformUnavailableError):
        await reader.read_all()
