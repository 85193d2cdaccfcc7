"""The metrics page of a process."""

import asyncio
from types import SimpleNamespace

import pytest

from daisygauge_control import Directory, DirectoryItem, EvacuationRecord
from daisygauge_relay._counters import Gauge, Histogram, RelayCounters
from daisygauge_relay._metrics import MetricsPage


@pytest.fixture
def runtime():
    return SimpleNamespace(
        counters=RelayCounters(),
        directory=Directory(),
        follower=SimpleNamespace(reader=SimpleNamespace(calls=4)),
        log=SimpleNamespace(total_dropped=2),
        is_ready=True,
        now=lambda: 10.0,
    )


async def load(page):
    while page.answer().status != 200:
        await asyncio.sleep(0.01)
    return page.answer().body.decode()


async def test_the_page_is_refused_until_the_library_is_loaded(runtime):
    page = MetricsPage(runtime=runtime, gauges=())

    assert page.answer().status == 503
    assert "daisygauge_relay_ready 1.0" in await load(page)


async def test_counters_reasons_and_gauges_are_shown(runtime):
    runtime.counters.count_refused("no-route")
    runtime.counters.count_dropped("late-opening")
    gauge = Gauge(name="flows", text="Flows known.", read=lambda: 7.0)

    text = await load(MetricsPage(runtime=runtime, gauges=(gauge,)))

    for line in (
        'daisygauge_relay_refused_total{reason="no-route"} 1.0',
        'daisygauge_relay_dropped_total{reason="late-opening"} 1.0',
        "daisygauge_relay_platform_calls_total 4.0",
        "daisygauge_relay_log_lines_dropped_total 2.0",
        "daisygauge_relay_flows 7.0",
    ):
        assert line in text


async def test_evacuations_and_the_packets_that_still_came_are_shown(runtime):
    record = EvacuationRecord(failure_domain="a")
    item = DirectoryItem(key="evacuate/a", revision=1, content=record)
    runtime.directory.apply([item], as_of=1, now=0.0)
    runtime.counters.evacuated_openings.observe(0.04)

    text = await load(MetricsPage(runtime=runtime, gauges=()))

    assert "daisygauge_relay_failure_domains_evacuated 1.0" in text
    assert 'daisygauge_relay_evacuated_opening_seconds_bucket{le="0.05"} 1.0' in text


async def test_the_histogram_counts_each_answer_once(runtime):
    for seconds in (0.001, 0.07, 0.07, 99.0):
        runtime.counters.count_answered(seconds)

    text = await load(MetricsPage(runtime=runtime, gauges=()))

    assert 'daisygauge_relay_answer_seconds_bucket{le="0.1"} 3.0' in text
    assert 'daisygauge_relay_answer_seconds_bucket{le="+Inf"} 4.0' in text
    assert "daisygauge_relay_answer_seconds_count 4.0" in text


def test_a_histogram_keeps_the_counts_that_it_is_given():
    histogram = Histogram(bounds=(0.1, 1.0), counts=[4, 2, 1])

    histogram.observe(0.05)

    assert histogram.counts == [5, 2, 1]


async def test_openings_passed_on_are_shown_by_reason(runtime):
    """The alert on cold hosts reads this counter."""
    runtime.counters.passed_by_reason["cold"] += 3

    text = await load(MetricsPage(runtime=runtime, gauges=()))

    assert 'daisygauge_relay_openings_passed_by_reason_total{reason="cold"} 3.0' in text
