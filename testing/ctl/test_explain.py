import json

import pytest

from daisygauge_ctl._explain import NO_DIAGNOSIS, explain
from daisygauge_ctl._log_lines import read_lines, read_log_files

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER = "100.64.0.8:40001>198.18.0.1:443"


def make_line(at, name, **fields):
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


def read_logs(**processes):
    lines = [
        found
        for process, texts in processes.items()
        for found in read_lines(texts, process=process)
    ]
    return sorted(lines, key=lambda found: found.at)


def test_a_request_is_followed_across_processes_in_order_of_time():
    lines = read_logs(
        agent=[
            make_line(2.0, "opening-taken", flow=FLOW),
            make_line(3.0, "request-begun", flow=FLOW, request="r-1"),
            make_line(4.0, "request-answered", flow=FLOW, request="r-1", seconds=1.0),
        ],
        balancer=[
            make_line(1.0, "opening-placed", flow=FLOW),
            make_line(1.5, "opening-placed", flow=OTHER),
        ],
    )

    explanation = explain("r-1", lines).splitlines()

    assert [text.split(":")[0].split()[-1] for text in explanation[:4]] == [
        "balancer",
        "agent",
        "agent",
        "agent",
    ]
    assert "answered" in explanation[-1]


@pytest.mark.parametrize(
    ("names", "expected"),
    [
        (["opening-placed"], "logged nothing"),
        (["opening-placed", "opening-taken", "request-begun"], "no answer was seen"),
        (["opening-taken", "request-begun", "request-expired"], "it has not run"),
        (["opening-placed", "opening-early"], "had just started"),
        (["opening-refused"], "refused before it opened"),
        (["opening-placed", "opening-uncertain"], "was not notified"),
        (["request-begun", "flow-lost"], "No upstream holds the flow"),
        (["flow-searched"], "no agent claimed"),
    ],
)
def test_the_events_give_the_diagnosis(names, expected):
    lines = read_logs(
        p=[make_line(n, name, flow=FLOW, request="r-1") for n, name in enumerate(names)]
    )

    assert expected in explain("r-1", lines)


def test_state_changes_of_the_involved_processes_are_shown():
    lines = read_logs(
        agent=[
            make_line(1.0, "upstream-silent", upstream="10.0.0.1:80"),
            make_line(1.5, "request-begun", flow=FLOW, request="r-1"),
        ],
        idle=[make_line(1.2, "source-lost", source="platform")],
    )

    explanation = explain("r-1", lines)

    assert "upstream-silent" in explanation
    assert "source-lost" not in explanation


def test_an_evacuation_before_a_flow_is_shown():
    """The flow's own lines don't show why there is no host."""
    lines = read_logs(
        balancer=[
            make_line(
                1.0, "evacuation-seen", failure_domain="a", revision=9, hosts={"s": 0}
            ),
            make_line(1.5, "opening-refused", flow=FLOW, reason="no-host"),
        ]
    )

    explanation = explain(FLOW, lines)

    assert "evacuation-seen" in explanation
    assert "refused before it opened" in explanation


def test_other_requests_of_the_flow_are_left_out():
    lines = read_logs(
        agent=[
            make_line(1.0, "request-begun", flow=FLOW, request="r-0"),
            make_line(2.0, "request-begun", flow=FLOW, request="r-1"),
        ]
    )

    assert "r-0" not in explain("r-1", lines)


def test_a_flow_can_be_explained():
    assert FLOW in explain(
        FLOW, read_logs(agent=[make_line(1.0, "opening-taken", flow=FLOW)])
    )


def test_an_unknown_id_has_no_explanation():
    assert (
        explain("r-9", read_logs(agent=[make_line(1.0, "opening-taken", flow=FLOW)]))
        is None
    )
    assert "suppressed" in NO_DIAGNOSIS


def test_prefixed_lines_are_read_and_other_text_is_skipped(tmp_path):
    path = tmp_path / "day.log"
    path.write_text(
        f"  -1.5 side-a-1 {make_line(1.0, 'opening-taken', flow=FLOW)}\n"
        "no event\n{}\n"
    )

    (found,) = read_log_files([str(path)])

    assert (found.process, found.name) == ("side-a-1", "opening-taken")
