"""A cold host gets no more opening packets in any second than it can handle."""

import pytest
from hypothesis import given, strategies as st

from daisygauge_policy import ColdPeriod, ColdRateLimit

STARTED = 100.0


def send_at(limit, times, *, per_second):
    """Return the times at which a packet is sent, of those at which one arrives."""
    sent = []
    for now in times:
        if limit.may_send(per_second=per_second, now=now):
            limit.record_sent(now=now)
            sent.append(now)
    return sent


@given(
    gaps=st.lists(st.floats(0.0, 0.4), max_size=120),
    per_second=st.floats(0.0, 12.0),
)
def test_no_span_of_a_second_holds_more_than_the_limit(gaps, per_second):
    """Spans include both ends, and packets that a margin of 40 ms moves together."""
    now, times = STARTED, []
    for gap in gaps:
        now += gap
        times.append(now)

    sent = send_at(ColdRateLimit(started=STARTED), times, per_second=per_second)

    for first in sent:
        assert sum(first <= at <= first + 1.04 for at in sent) <= per_second


def test_the_second_before_an_agent_s_start_counts_as_full():
    """Two agents in a row must not give their host twice the limit."""
    limit = ColdRateLimit(started=STARTED)
    times = [STARTED + 0.1 * n for n in range(20)]

    sent = send_at(limit, times, per_second=5)

    assert len(sent) == 5
    assert sent[0] > STARTED + 1.0


def test_packets_sent_before_the_host_was_known_to_be_cold_count():
    limit = ColdRateLimit(started=STARTED)
    for _ in range(5):
        limit.record_sent(now=STARTED + 3.0)

    assert not limit.may_send(per_second=5, now=STARTED + 3.9)
    assert limit.may_send(per_second=5, now=STARTED + 4.1)


@pytest.fixture
def period():
    return ColdPeriod()


def observe(period, *, cold=2.0, incarnation=1, now=10.0):
    entry = object()
    period.observe_entry(
        entry, incarnation=incarnation, slow_start_seconds=cold, now=now
    )
    return entry


def test_a_host_without_an_entry_is_cold(period):
    """It may just have started, with its entry still to come."""
    assert period.is_cold(now=1_000.0)


def test_a_host_is_cold_for_the_time_that_its_entry_gives(period):
    """Guards against a limit that ends while the host is slow, or later."""
    observe(period, cold=2.0, now=10.0)

    assert period.is_cold(now=11.9)
    assert not period.is_cold(now=12.0)


def test_the_time_counts_from_the_first_sight_of_an_entry(period):
    """The same entry, seen again with every packet, must not keep the host cold."""
    entry = observe(period, cold=2.0, now=10.0)

    is_new = period.observe_entry(
        entry, incarnation=1, slow_start_seconds=2.0, now=11.5
    )

    assert not is_new
    assert not period.is_cold(now=12.0)


def test_a_later_entry_with_equal_fields_starts_the_time_again(period):
    observe(period, cold=2.0, now=10.0)
    observe(period, cold=2.0, now=11.5)

    assert period.is_cold(now=13.4)


def test_a_restarted_host_is_cold_though_its_entry_is_the_earlier_one(period):
    observe(period, cold=0.0, incarnation=1, now=10.0)
    period.assume_restarted(slow_start_seconds=2.0, now=20.0)

    # The earlier entry is written once more; it says nothing about the new start.
    observe(period, cold=0.0, incarnation=1, now=20.5)
    assert period.is_cold(now=21.0)
    observe(period, cold=0.5, incarnation=2, now=21.0)
    assert period.is_cold(now=21.4)
    assert not period.is_cold(now=21.5)


def test_a_host_that_was_only_silent_stays_cold_for_a_slow_start_at_most(period):
    observe(period, cold=0.0, incarnation=1, now=10.0)
    period.assume_restarted(slow_start_seconds=2.0, now=20.0)

    assert not period.is_cold(now=22.0)


def test_a_host_is_cold_after_its_evacuation_until_any_new_entry(period):
    observe(period, cold=0.0, incarnation=1, now=10.0)
    period.assume_idle(slow_start_seconds=2.0, now=20.0)

    assert period.is_cold(now=20.5)
    observe(period, cold=0.0, incarnation=1, now=20.6)
    assert not period.is_cold(now=20.6)
