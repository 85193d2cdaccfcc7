"""Hypothesis strategies for the messages that the wire package encodes."""

from hypothesis import strategies as st

from daisygauge_records import Endpoint, Key
from daisygauge_wire import (
    MAX_CANDIDATES,
    Datagram,
    KeyRing,
    Kind,
    LoadReport,
    PlacementStatus,
    Route,
)

NOW = 1_000.0
KEYS = KeyRing.from_keys([Key(id="a", number=7, secret="11" * 32)])
KEY = KEYS.newest(now=NOW)
OTHER_KEYS = KeyRing.from_keys([Key(id="b", number=7, secret="22" * 32)])

ports = st.integers(0, 0xFFFF)
counts = st.integers(0, 0xFFFF)
large_counts = st.integers(0, 0xFFFFFFFF)
hosts = st.ip_addresses(v=4).map(str)
endpoints = st.builds(Endpoint, host=hosts, port=ports)
routes = st.builds(Route, agent=endpoints, service=counts, incarnation=large_counts)
datagrams = st.builds(
    Datagram,
    kind=st.sampled_from(Kind),
    service=counts,
    incarnation=large_counts,
    status=st.sampled_from(PlacementStatus),
    hops=st.integers(0, 0xFF),
    caller=endpoints,
    address=endpoints,
    sender=endpoints,
    candidates=st.lists(endpoints, max_size=MAX_CANDIDATES).map(tuple),
    payload=st.binary(max_size=1_400),
)
reports = st.builds(
    LoadReport,
    slots=counts,
    running=counts,
    waiting=counts,
    connections=large_counts,
    max_connections=large_counts,
    service_seconds=st.floats(0, 1_000, width=32),
    leaving=st.booleans(),
    ready=st.booleans(),
    sequence=large_counts,
)
