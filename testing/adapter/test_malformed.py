"""A malformed entry or answer of the store has no effect beyond itself."""

import base64
import json
import math

import pytest
from hypothesis import example, given, settings, strategies as st

from daisygauge_control import (
    Directory,
    DirectoryItem,
    HostRecord,
    HttpResponse,
    PlatformUnavailableError,
    RoutingRecord,
    ServiceRecord,
    UnusableRecord,
)
from daisygauge_control._directory_messages import (
    PackedReply,
    decode_reply,
    encode_message,
    pack_items,
)
from daisygauge_platform._entries import decode_item
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
UNEXPECTED_VALUES = st.sampled_from(
    [None, True, "", "x", "2", [], {}, -1, 0, 2.5, 1e300, 2**63, 2**70, -(2**70)]
)


def make_entry(key, value):
    raw = json.dumps(value).encode()
    return {"key": key, "revision": 9, "value": base64.b64encode(raw).decode()}


def send_to_peer(item):
    """Return the items that a peer decodes from a directory message with the item."""
    reply = PackedReply(
        as_of=9, age_seconds=0.0, is_complete=True, items=pack_items([item])
    )
    return decode_reply(encode_message(reply)).items


def use_item(item):
    """Store an item in a directory and choose a service for each of its routes."""
    directory = Directory()
    directory.replace([item], as_of=9, now=1.0)
    candidates = CandidateLists()
    candidates.update(directory.view)
    for route in directory.view.routes.values():
        choose_service(route, bytes(12))
    return directory


@given(field=st.sampled_from(sorted(HOST)), value=UNEXPECTED_VALUES)
@example(field="capacity", value=2.5)
@example(field="capacity", value=2**70)
@example(field="capacity", value=-1)
@example(field="born", value=2.5)
def test_an_entry_with_an_unexpected_value_can_be_sent_and_used(field, value):
    item = decode_item(make_entry("servers/h", HOST | {field: value}))

    assert send_to_peer(item) == (item,)
    use_item(item)
    if isinstance(item.content, HostRecord):
        assert 0 <= item.content.slots < 65_536


@given(field=st.sampled_from(sorted(ROUTE)), value=UNEXPECTED_VALUES)
def test_a_route_with_an_unexpected_value_can_be_sent_and_used(field, value):
    config = {"version": 7, "routes": [ROUTE | {field: value}], "limits": {}}

    item = decode_item(make_entry("op/config", config))

    assert send_to_peer(item) == (item,)
    use_item(item)


@given(value=UNEXPECTED_VALUES, field=st.sampled_from(["service", "weight"]))
@example(value=-1, field="weight")
def test_a_split_with_an_unexpected_value_can_be_sent_and_used(value, field):
    shares = [SPLIT[0], SPLIT[1] | {field: value}]
    config = {"version": 7, "routes": [ROUTE | {"weightedServices": shares}]}

    item = decode_item(make_entry("op/config", config))

    assert send_to_peer(item) == (item,)
    use_item(item)


@given(value=UNEXPECTED_VALUES, field=st.sampled_from(["version", "routes", "limits"]))
def test_a_configuration_with_an_unexpected_value_can_be_sent_and_used(value, field):
    config = {"version": 7, "routes": [ROUTE], "limits": {"idleTimeoutMs": 15_000}}

    item = decode_item(make_entry("op/config", config | {field: value}))

    assert send_to_peer(item) == (item,)
    use_item(item)


def test_a_configuration_with_a_negative_weight_is_unusable():
    shares = [{"service": "a", "weight": -90}, {"service": "b", "weight": 10}]
    config = {"version": 7, "routes": [ROUTE | {"weightedServices": shares}]}

    content = decode_item(make_entry("op/config", config)).content

    assert isinstance(content, UnusableRecord)
    assert not isinstance(content, RoutingRecord)


@given(
    value=UNEXPECTED_VALUES,
    field=st.sampled_from(["name", "coldStartS", "coldPerS", "capacity"]),
)
@example(value=-1, field="coldPerS")
@example(value="2", field="coldStartS")
@settings(deadline=None)
def test_a_service_with_an_unexpected_value_leaves_the_routes_usable(value, field):
    """Limits on cold hosts must not stop a configuration that routes are served by."""
    service = {"name": "a", "coldStartS": 2.0, "coldPerS": 3.0} | {field: value}
    config = {"version": 7, "routes": [ROUTE], "services": [service]}

    item = decode_item(make_entry("op/config", config))

    assert send_to_peer(item) == (item,)
    use_item(item)
    assert len(item.content.routes) == 1
    for record in item.content.services:
        assert 0.0 <= record.slow_start_seconds < math.inf
        assert 0.0 <= record.slow_start_rate < math.inf


@given(UNEXPECTED_VALUES)
@settings(deadline=None)
def test_services_of_an_unexpected_type_leave_the_routes_usable(services):
    """Limits on cold hosts must not stop a configuration that routes are served by."""
    config = {"version": 7, "routes": [ROUTE], "services": services}

    item = decode_item(make_entry("op/config", config))

    assert send_to_peer(item) == (item,)
    assert len(item.content.routes) == 1


def test_a_service_gives_its_cold_time_and_rate():
    """A rate that isn't read would leave cold hosts without a limit."""
    services = [{"name": "a", "coldStartS": 2.0, "coldPerS": 3}, {"name": "b"}, 7]
    config = {"version": 7, "routes": [ROUTE], "services": services}

    content = decode_item(make_entry("op/config", config)).content

    assert content.services == (
        ServiceRecord(name="a", slow_start_seconds=2.0, slow_start_rate=3.0),
        ServiceRecord(name="b"),
    )


class FakeHttpClient:
    """HTTP client of a store that gives the same answer to every call."""

    host, port, calls = "127.0.0.1", 1, 0

    def __init__(self, body):
        self.body = body

    async def get(self, target, *, timeout_seconds):
        self.calls += 1
        assert self.calls < 100, "the reader doesn't stop reading pages"
        return HttpResponse(status=200, body=self.body)


ITEM = make_entry("servers/h", HOST)


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
async def test_a_malformed_answer_makes_the_store_unavailable(answer):
    reader = StoreReader(client=FakeHttpClient(json.dumps(answer).encode()))

    with pytest.raises(PlatformUnavailableError):
        await reader.read_all()


@pytest.mark.parametrize("answer", [{"asOf": 5, "items": []}, {"asOf": 5}, []])
async def test_a_malformed_answer_to_a_watch_makes_the_store_unavailable(answer):
    reader = StoreReader(client=FakeHttpClient(json.dumps(answer).encode()))

    with pytest.raises(PlatformUnavailableError):
        await reader.watch(after=3, wait_seconds=1.0)


def test_the_item_used_in_these_tests_is_valid():
    item = decode_item(ITEM)

    assert isinstance(item, DirectoryItem)
    assert isinstance(item.content, HostRecord)


@pytest.mark.parametrize("key", ["servers/h", "op/config"])
def test_a_deeply_nested_entry_is_an_unusable_record(key):
    value = base64.b64encode(b"[" * 200_000).decode()

    content = decode_item({"key": key, "revision": 9, "value": value}).content

    assert isinstance(content, UnusableRecord)
