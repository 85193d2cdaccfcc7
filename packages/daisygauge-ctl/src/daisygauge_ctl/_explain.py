"""``daisygaugectl explain``: finds the outcome of a request in log files."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence

from absl import flags
from attrs import frozen

from daisygauge_daemon import MisuseError

from ._command import EXIT_OK, EXIT_PROBLEM, Command
from ._log_lines import LogLine, read_log_files

CONTEXT_SECONDS = 1.0
"""How long before the first line of a flow a state change may still affect it."""
CONTEXT_EVENTS = frozenset(
    {
        "daemon-started",
        "daemon-draining",
        "daemon-stopped",
        "task-failed",
        "upstream-silent",
        "upstream-heard",
        "agents-suspected",
        "directory-moved",
        "evacuation-seen",
        "evacuation-ended",
        "host-gone",
        "source-lost",
        "source-regained",
        "host-cold",
        "pace-changed",
        "outlier-ejected",
        "outlier-returned",
        "outliers-common",
    }
)


@frozen(kw_only=True)
class Diagnosis:
    """An explanation of an outcome, and the condition for it.

    :param matches: whether the names of a flow's events support the diagnosis.
    :param text: the explanation for the operator.
    """

    matches: Callable[[frozenset[str]], bool]
    text: str


# The order matters: the first diagnosis that matches is printed.
DIAGNOSES = (
    Diagnosis(
        matches=lambda names: "request-expired" in names,
        text="The request waited at the agent until its client gave up; it has not "
        "run. Compare 'running' with the upstream's slots: the upstreams were busy.",
    ),
    Diagnosis(
        matches=lambda names: "opening-refused" in names,
        text="The flow was refused before it opened; no request in it has run. See "
        "'reason'.",
    ),
    Diagnosis(
        matches=lambda names: (
            "opening-uncertain" in names and "request-begun" not in names
        ),
        text="No upstream was free or answered. An upstream that received the opening "
        "packet may still have accepted the flow, so the client was not notified. No "
        "request has run.",
    ),
    Diagnosis(
        matches=lambda names: "flow-lost" in names,
        text="No upstream holds the flow any more; the client was notified. 'reason' "
        "and 'absent' show which agents reported it: the one that held the flow, or "
        "every known agent. A request in it may have run.",
    ),
    Diagnosis(
        matches=lambda names: "request-answered" in names,
        text="The upstream answered; 'seconds' is the time from the request's first "
        "packet at the agent.",
    ),
    Diagnosis(
        matches=lambda names: "request-begun" in names,
        text="The request reached the agent and no answer was seen: the agent or the "
        "upstream stopped in the meantime, or the upstream was too slow. The request "
        "may have run.",
    ),
    Diagnosis(
        matches=lambda names: "opening-taken" in names,
        text="The opening packet was sent to the upstream; no request followed.",
    ),
    Diagnosis(
        matches=lambda names: "opening-early" in names,
        text="The agent had just started and dropped the opening packet, since it did "
        "not know yet whether its failure domain is evacuated. No copy reached another "
        "agent. No request has run.",
    ),
    Diagnosis(
        matches=lambda names: "opening-placed" in names,
        text="The opening packet was sent to an agent that logged nothing about it: "
        "the agent was down, unreachable or starting. No request has run.",
    ),
    Diagnosis(
        matches=lambda names: "flow-searched" in names,
        text="A balancer searched for the flow and no agent claimed it.",
    ),
)
NO_DIAGNOSIS = (
    "No balancer logged the flow: its packets reached no running balancer, or lines "
    "were suppressed (see 'suppressed' and event 626)."
)


def find_flows(lines: Sequence[LogLine], *, id: str) -> frozenset[str]:
    """Return the flows that have the given id or carried the request with that id."""
    return frozenset(
        line.fields["flow"]
        for line in lines
        if "flow" in line.fields
        and id in (line.fields["flow"], line.fields.get("request"))
    )


def select_lines(lines: Sequence[LogLine], *, flows: frozenset[str]) -> list[LogLine]:
    """Return the lines of flows and the state changes that may have affected them.

    State changes are taken only from processes that logged a line of the flows.
    """
    flow_lines = [line for line in lines if line.fields.get("flow") in flows]
    if not flow_lines:
        return []
    first, last = flow_lines[0].at - CONTEXT_SECONDS, flow_lines[-1].at
    processes = {line.process for line in flow_lines}
    return [
        line
        for line in lines
        if line.fields.get("flow") in flows
        or (
            line.name in CONTEXT_EVENTS
            and line.process in processes
            and first <= line.at <= last
        )
    ]


def exclude_other_requests(lines: Sequence[LogLine], *, id: str) -> list[LogLine]:
    """Return the lines without those of other requests of the same flow."""
    return [line for line in lines if line.fields.get("request") in (None, id)]


def diagnose(lines: Sequence[LogLine]) -> str:
    """Return the text of the first diagnosis that the lines support."""
    names = frozenset(line.name for line in lines)
    texts = (diagnosis.text for diagnosis in DIAGNOSES if diagnosis.matches(names))
    return next(texts, NO_DIAGNOSIS)


def explain(id: str, lines: Sequence[LogLine]) -> str | None:
    """Return the events of a request or flow with a diagnosis.

    :param id: a request id or a flow.
    :param lines: events in order of time.
    :return: the explanation, or None if no line names the id.
    """
    flows = find_flows(lines, id=id)
    if not flows:
        return None
    selected = select_lines(lines, flows=flows)
    if id not in flows:
        selected = exclude_other_requests(selected, id=id)
    since = selected[0].at
    events = [line.format(since=since) for line in selected]
    return "\n".join([*events, "", diagnose(selected)])


def define_flags(values: flags.FlagValues) -> None:
    """Define no flags: ``explain`` has none."""


def print_explanation(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the explanation of a request or flow.

    :return: the exit code.
    :raises MisuseError: too few arguments are given, or a file is unreadable.
    """
    if len(arguments) < 2:
        raise MisuseError(
            "too few arguments; give a request id or a flow, and at least one log file"
        )
    id, *paths = arguments
    try:
        lines = read_log_files(paths)
    except OSError as error:
        raise MisuseError(f"{error}; give readable log files") from error
    explanation = explain(id, lines)
    if explanation is None:
        print(f"no line names {id!r}. {NO_DIAGNOSIS}", file=sys.stderr)
        return EXIT_PROBLEM
    print(explanation)
    return EXIT_OK


EXPLAIN = Command(
    name="explain",
    summary="show what became of a request, from log files",
    arguments="ID LOGFILE...",
    description=(
        "Gathers the lines of all processes that touched a request (its id) or a "
        "flow (CLIENT:PORT>SERVICE:PORT), in order of time, with the beliefs that "
        "changed meanwhile, and says what they show."
    ),
    define_flags=define_flags,
    handler=print_explanation,
)
