import math

import pytest
from hypothesis import given, strategies as st

from daisygauge_policy import (
    DEFAULT_CLASS,
    Deadline,
    DrainStage,
    RecentCompletions,
    ServiceTimes,
    decide_drain_stage,
    match_class,
    read_deadline,
)
from daisygauge_records import Endpoint, RequestClass, Service

SERVICE = Service(
    id="order-desk",
    number=1,
    address=Endpoint(host="127.30.9.9", port=4433),
    classes=(
        RequestClass(name="orders", method="POST", path_prefix="/orders"),
        RequestClass(name="feeds", path_prefix="/feed", streaming=True),
        RequestClass(name="rest", method="GET"),
    ),
)


@pytest.mark.parametrize(
    ("method", "path", "name"),
    [
        ("POST", "/orders/7", "orders"),
        ("GET", "/orders/7", "rest"),
        ("PUT", "/feed", "feeds"),
    ],
)
def test_the_first_matching_class_applies(method, path, name):
    assert match_class(SERVICE, method=method, path=path).name == name


def test_a_request_without_a_class_is_not_idempotent():
    found = match_class(SERVICE, method="DELETE", path="/x")

    assert found is DEFAULT_CLASS
    assert not found.idempotent


def test_a_deadline_is_read_from_the_header():
    deadline = read_deadline("1500", request_class=DEFAULT_CLASS, now=10.0)

    assert deadline == Deadline(at=11.5)
    assert deadline.format_header(now=11.0) == "500"
    assert deadline.has_passed(now=11.5)
    assert deadline.remaining_seconds(now=99.0) == 0.0


@given(header=st.none() | st.text(max_size=8) | st.from_regex(r"\d{1,40}"))
def test_any_header_gives_a_bounded_deadline(header):
    deadline = read_deadline(header, request_class=DEFAULT_CLASS, now=10.0)

    assert 10.0 <= deadline.at <= 3_610.0


@pytest.mark.parametrize("header", [None, "", "-5", "1.5", "soon", "²", "9" * 13])
def test_without_a_readable_header_the_class_sets_the_deadline(header):
    deadline = read_deadline(header, request_class=DEFAULT_CLASS, now=10.0)

    assert deadline.at == 20.0


@pytest.mark.parametrize("header", ["0001500", "0" * 40 + "1500"])
def test_leading_zeros_leave_a_deadline_as_it_is(header):
    deadline = read_deadline(header, request_class=DEFAULT_CLASS, now=10.0)

    assert deadline == Deadline(at=11.5)


def test_recent_completions_decay():
    recent = RecentCompletions()
    recent.add(now=10.0)
    recent.add(now=10.0)

    assert recent.count(now=10.0) == 2.0
    assert recent.count(now=15.0) == pytest.approx(2.0 / math.e)


def test_service_times_follow_their_class():
    times = ServiceTimes()
    for _ in range(50):
        times.observe("orders", seconds=0.5)
        times.observe("rest", seconds=0.1)

    assert times.expected_seconds("orders") == pytest.approx(0.5)
    assert 0.1 < times.expected_seconds("never-measured") < 0.5


@given(
    moments=st.lists(st.floats(0, 100), min_size=2, max_size=10),
    open_requests=st.integers(0, 3),
)
def test_drain_stages_only_advance_and_wait_for_open_requests(moments, open_requests):
    order = list(DrainStage)
    stages = [
        decide_drain_stage(leaving_since=0.0, open_requests=open_requests, now=now)
        for now in sorted(moments)
    ]

    assert [order.index(stage) for stage in stages] == sorted(
        order.index(stage) for stage in stages
    )
    assert DrainStage.FINISHED not in stages or open_requests == 0


def test_a_staying_agent_serves():
    stage = decide_drain_stage(leaving_since=None, open_requests=0, now=1e9)

    assert stage is DrainStage.SERVING
