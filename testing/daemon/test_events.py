import json
from io import StringIO

import eliot
import pytest

from daisygauge_daemon._events import (
    LIMITED_LINES_BURST,
    Event,
    EventLog,
    Level,
)

PLAIN = Event(number=900, name="plain", level=Level.INFO, text="It is.", fields=("a",))
LIMITED = Event(
    number=901, name="limited", level=Level.WARNING, text="It is.", limited=True
)


@pytest.fixture
def lines():
    output = StringIO()
    destination = eliot.FileDestination(file=output)
    eliot.add_destinations(destination)
    # eliot passes earlier messages on to the first destination of a process.
    output.seek(0)
    output.truncate()
    yield lambda: [json.loads(line) for line in output.getvalue().splitlines()]
    eliot.remove_destination(destination)


def test_an_event_is_one_line_of_json_with_its_number(lines):
    EventLog().write(PLAIN, a=1)

    (line,) = lines()
    assert (line["event"], line["level"], line["a"]) == (900, "info", 1)


def test_events_below_the_level_are_left_out(lines):
    EventLog(level=Level.WARNING).write(PLAIN, a=1)

    assert lines() == []


def test_fields_must_be_those_of_the_catalogue():
    with pytest.raises(ValueError, match="900"):
        EventLog().write(PLAIN, b=1)


def test_limited_events_are_suppressed_above_their_rate_and_counted(lines):
    now = 0.0
    log = EventLog(clock=lambda: now)

    for _ in range(1_000):
        log.write(LIMITED)
    now = 1.0
    log.write(LIMITED)

    written = lines()
    assert len(written) == LIMITED_LINES_BURST + 1
    assert written[-1]["suppressed"] == 1_000 - LIMITED_LINES_BURST
