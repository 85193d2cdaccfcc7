import json

import pytest

from daisygauge_ctl._explain import NOTHING_KNOWN, explain
from daisygauge_ctl._log_lines import read_lines, read_log_files

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.8:40001>198.18.0.1:443"


def line(at, name, **fields):
    return json.dumps(
        {
            "event": 600,
            "level": "info",
            "text": f"It is {name}.",
            "message_type": f"daisygauge:{name}",
            "timestamp": at + 0.1,
            "at": at,
            **fields,
        }
    )


def read(**processes):
    lines = [
        found
        for process, texts in processes.items()
        for found in read_lines(texts, process=process)
    ]
    return sorted(lines, key=lambda found: found.at)


def test_a_request_is_followed_across_processes_in_order_of_time():
    lines = read(
        agent=[
            line(2.0, "opening-taken", flow=FLOW),
            line(3.0, "request-begun", flow=FLOW, request="r-1"),
            line(4.0, "request-answered", flow=FLOW, request="r-1", seconds=1.0),
        ],
        balancer=[
            line(1.0, "opening-placed", flow=FLOW),
            line(1.5, "opening-placed", flow=OTHER),
        ],
    )

    story = explain("r-1", lines).splitlines()

    assert [text.split(":")[0].split()[-1] for text in story[:4]] == [
        "balancer",
        "agent",
        "agent",
        "agent",
    ]
    assert "answered" in story[-1]


@pytest.mark.parametrize(
    ("names", "expected"),
    [
        (["opening-placed"], "logged nothing"),
        (["opening-placed", "opening-taken", "request-begun"], "no answer was seen"),
        (["opening-taken", "request-begun", "request-expired"], "it has not run"),
        (["opening-refused"], "refused before it opened"),
        (["opening-placed", "opening-uncertain"], "was not told"),
        (["request-begun", "flow-lost"], "No upstream holds the flow"),
        (["flow-searched"], "nobody claimed"),
    ],
)
def test_the_cause_is_named(names, expected):
    lines = read(
        p=[line(n, name, flow=FLOW, request="r-1") for n, name in enumerate(names)]
    )

    assert expected in explain("r-1", lines)


def test_beliefs_that_changed_meanwhile_are_shown():
    lines = read(
        agent=[
            line(1.0, "upstream-silent", upstream="10.0.0.1:80"),
            line(1.5, "request-begun", flow=FLOW, request="r-1"),
        ],
        idle=[line(1.2, "source-lost", source="platform")],
    )

    story = explain("r-1", lines)

    assert "upstream-silent" in story
    assert "source-lost" not in story


def test_other_requests_of_the_flow_are_left_out():
    lines = read(
        agent=[
            line(1.0, "request-begun", flow=FLOW, request="r-0"),
            line(2.0, "request-begun", flow=FLOW, request="r-1"),
        ]
    )

    assert "r-0" not in explain("r-1", lines)


def test_a_flow_can_be_asked_for():
    assert FLOW in explain(FLOW, read(agent=[line(1.0, "opening-taken", flow=FLOW)]))


def test_an_unknown_id_is_said_so():
    assert explain("r-9", read(agent=[line(1.0, "opening-taken", flow=FLOW)])) is None
    assert "suppressed" in NOTHING_KNOWN


def test_lines_with_a_prefix_and_lines_that_are_no_events_are_read(tmp_path):
    path = tmp_path / "day.log"
    path.write_text(
        f"  -1.5 side-a-1 {line(1.0, 'opening-taken', flow=FLOW)}\nno event\n{{}}\n"
    )

    (found,) = read_log_files([str(path)])

    assert (found.process, found.name) == ("side-a-1", "opening-taken")
