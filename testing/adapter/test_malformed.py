"""One malformed entry or answer of the store costs no more than itself."""

import base64
import json

import pytest
from hypothesis import example, given, strategies as st

from daisygauge_control import (
    Directory,
    DirectoryItem,
    HostRecord,
    HttpResponse,
    PlatformUnavailableError,
    RoutingRecord,
    UnusableRecord,
)
from daisygauge_control._directory_messages import (
    PackedReply,
    decode_reply,
    encode_message,
    pack_items,
)
from daisygauge_platform._entries import read_item
from daisygauge_platform._store import StoreReader
from daisygauge_relay._candidates import CandidateLists, choose_service

HOST = {
    "service": "desk", "address": "10.0.0.1:80", "zone": "a", "version": "v1",
    "capacity": 2, "state": "ready", "coldRemainingMs": 500, "sequence": 4, "born": 17,
}  # fmt: skip
ROUTE = {
    "name": "r", "host": "198.18.0.1", "prefix": "/8443/", "type": "safe",
    "timeoutMs": 800, "targetLatencyMs": 143, "priority": 2, "service": "desk",
}  # fmt: skip
SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
ODD = st.sampled_from(
    [None, True, "", "x", "2", [], {}, -1, 0, 2.5, 1e300, 2**63, 2**70, -(2**70)]
)


def stored(key, value):
    raw = json.dumps(value).encode()
    return {"key": key, "revision": 9, "value": base64.b64encode(raw).decode()}


def tell_peer(item):
    """Send an item to a peer as the directory's messages do."""
    reply = PackedReply(
        as_of=9, age_seconds=0.0, is_complete=True, items=pack_items([item])
    )
    return decode_reply(encode_message(reply)).items


def use(item):
    """Believe an item and choose by it."""
    directory = Directory()
    directory.replace([item], as_of=9, now=1.0)
    candidates = CandidateLists()
    candidates.update(directory.view)
    for route in directory.view.routes.values():
        choose_service(route, bytes(12))
    return directory


@given(field=st.sampled_from(sorted(HOST)), value=ODD)
@example(field="capacity", value=2.5)
@example(field="capacity", value=2**70)
@example(field="capacity", value=-1)
@example(field="born", value=2.5)
def test_an_entry_with_an_odd_field_can_be_told_and_used(field, value):
    item = read_item(stored("servers/h", HOST | {field: value}))

    assert tell_peer(item) == (item,)
    use(item)
    if isinstance(item.content, HostRecord):
        assert 0 <= item.content.slots < 65_536


@given(field=st.sampled_from(sorted(ROUTE)), value=ODD)
def test_a_route_with_an_odd_field_can_be_told_and_used(field, value):
    config = {"version": 7, "routes": [ROUTE | {field: value}], "limits": {}}

    item = read_item(stored("op/config", config))

    assert tell_peer(item) == (item,)
    use(item)


@given(value=ODD, field=st.sampled_from(["service", "weight"]))
@example(value=-1, field="weight")
def test_a_split_with_an_odd_share_can_be_told_and_used(value, field):
    shares = [SPLIT[0], SPLIT[1] | {field: value}]
    config = {"version": 7, "routes": [ROUTE | {"weightedServices": shares}]}

    item = read_item(stored("op/config", config))

    assert tell_peer(item) == (item,)
    use(item)


@given(value=ODD, field=st.sampled_from(["version", "routes", "limits"]))
def test_a_configuration_with_an_odd_field_can_be_told_and_used(value, field):
    config = {"version": 7, "routes": [ROUTE], "limits": {"idleTimeoutMs": 15_000}}

    item = read_item(stored("op/config", config | {field: value}))

    assert tell_peer(item) == (item,)
    use(item)


def test_a_configuration_that_names_an_odd_weight_is_not_taken():
    shares = [{"service": "a", "weight": -90}, {"service": "b", "weight": 10}]
    config = {"version": 7, "routes": [ROUTE | {"weightedServices": shares}]}

    content = read_item(stored("op/config", config)).content

    assert isinstance(content, UnusableRecord)
    assert not isinstance(content, RoutingRecord)


class AnsweringClient:
    """A store that answers every call alike."""

    host, port, calls = "127.0.0.1", 1, 0

    def __init__(self, body):
        self.body = body

    async def get(self, target, *, timeout_seconds):
        self.calls += 1
        assert self.calls < 100, "the reading doesn't end"
        return HttpResponse(status=200, body=self.body)


ITEM = stored("servers/h", HOST)


@pytest.mark.parametrize(
    "answer",
    [
        {"asOf": 5},
        {"asOf": 5, "events": []},
        {"asOf": 2**70, "items": []},
        {"asOf": -1, "items": []},
        {"asOf": 5, "items": None},
        {"asOf": 5, "items": [7]},
        {"asOf": 5, "items": [ITEM | {"revision": 2**70}]},
        {"asOf": 5, "items": [ITEM | {"key": None}]},
        {"asOf": 5, "items": [ITEM], "hasMore": True},
        [],
        None,
        "text",
    ],
)
async def test_an_answer_of_another_shape_is_a_store_that_fails(answer):
    reader = StoreReader(client=AnsweringClient(json.dumps(answer).encode()))

    with pytest.raises(PlatformUnavailableError):
        await reader.read_all()


@pytest.mark.parametrize("answer", [{"asOf": 5, "items": []}, {"asOf": 5}, []])
async def test_a_watch_of_another_shape_is_a_store_that_fails(answer):
    reader = StoreReader(client=AnsweringClient(json.dumps(answer).encode()))

    with pytest.raises(PlatformUnavailableError):
        await reader.watch(after=3, wait_seconds=1.0)


def test_the_items_of_the_tests_are_read():
    item = read_item(ITEM)

    assert isinstance(item, DirectoryItem)
    assert isinstance(item.content, HostRecord)


@pytest.mark.parametrize("key", ["servers/h", "op/config"])
def test_an_entry_nested_without_end_harms_nobody(key):
    value = base64.b64encode(b"[" * 200_000).decode()

    content = read_item({"key": key, "revision": 9, "value": value}).content

    assert isinstance(content, UnusableRecord)
