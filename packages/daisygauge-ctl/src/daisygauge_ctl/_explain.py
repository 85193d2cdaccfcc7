"""``daisygaugectl explain``: from a request's id to what became of it."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence

from absl import flags
from attrs import frozen

from daisygauge_daemon import MisuseError

from ._command import EXIT_OK, EXIT_PROBLEM, Command
from ._log_lines import LogLine, read_log_files

CONTEXT_SECONDS = 1.0
"""Beliefs that changed this long before the flow's first line may have decided it."""
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
        "host-gone",
        "source-lost",
        "source-regained",
    }
)


@frozen(kw_only=True)
class Finding:
    """A cause that lines show.

    :param matches: tells whether the names of a flow's events show it.
    """

    matches: Callable[[frozenset[str]], bool]
    text: str


# The first that matches holds.
FINDINGS = (
    Finding(
        matches=lambda names: "request-expired" in names,
        text="The request waited at the agent until its client gave up; it has not "
        "run. Compare 'running' with the upstream's slots: the upstreams were busy.",
    ),
    Finding(
        matches=lambda names: "opening-refused" in names,
        text="The flow was refused before it opened; no request in it has run. See "
        "'reason'.",
    ),
    Finding(
        matches=lambda names: (
            "opening-uncertain" in names and "request-begun" not in names
        ),
        text="No upstream was free or answered. One that was given the opening packet "
        "might still have taken it, so the client was not told. No request has run.",
    ),
    Finding(
        matches=lambda names: "flow-lost" in names,
        text="No upstream holds the flow any more; the client was told. 'reason' and "
        "'absent' say which agents stated it: the one that held the flow, or every "
        "agent known. A request in it may have run.",
    ),
    Finding(
        matches=lambda names: "request-answered" in names,
        text="The upstream answered; 'seconds' is the time from the request's first "
        "packet at the agent.",
    ),
    Finding(
        matches=lambda names: "request-begun" in names,
        text="The request reached the agent and no answer was seen: the agent or the "
        "upstream ended meanwhile, or the upstream was too slow. It may have run.",
    ),
    Finding(
        matches=lambda names: "opening-taken" in names,
        text="The upstream was given the opening packet; no request followed.",
    ),
    Finding(
        matches=lambda names: "opening-placed" in names,
        text="The opening packet was sent to an agent that logged nothing of it: the "
        "agent was down, cut off or just starting. No request has run.",
    ),
    Finding(
        matches=lambda names: "flow-searched" in names,
        text="A balancer searched for the flow and nobody claimed it.",
    ),
)
NOTHING_KNOWN = (
    "No balancer logged the flow: its packets reached none that ran, or lines were "
    "suppressed (see 'suppressed' and event 626)."
)


def find_flows(lines: Sequence[LogLine], *, id: str) -> frozenset[str]:
    """Return the flows that a request or flow id belongs to."""
    return frozenset(
        line.fields["flow"]
        for line in lines
        if "flow" in line.fields
        and id in (line.fields["flow"], line.fields.get("request"))
    )


def select_lines(lines: Sequence[LogLine], *, flows: frozenset[str]) -> list[LogLine]:
    """Return the lines of flows, and the beliefs that changed around them."""
    own = [line for line in lines if line.fields.get("flow") in flows]
    if not own:
        return []
    first, last = own[0].at - CONTEXT_SECONDS, own[-1].at
    processes = {line.process for line in own}
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


def narrow_to_request(lines: Sequence[LogLine], *, id: str) -> list[LogLine]:
    """Leave out lines that name other requests of the same flow."""
    return [line for line in lines if line.fields.get("request") in (None, id)]


def judge(lines: Sequence[LogLine]) -> str:
    """Return what the lines of a request show."""
    names = frozenset(line.name for line in lines)
    found = (finding.text for finding in FINDINGS if finding.matches(names))
    return next(found, NOTHING_KNOWN)


def explain(id: str, lines: Sequence[LogLine]) -> str | None:
    """Return the story of a request or flow, or None when no line names it."""
    flows = find_flows(lines, id=id)
    if not flows:
        return None
    selected = select_lines(lines, flows=flows)
    if id not in flows:
        selected = narrow_to_request(selected, id=id)
    since = selected[0].at
    story = [line.format(since=since) for line in selected]
    return "\n".join([*story, "", judge(selected)])


def define_flags(values: flags.FlagValues) -> None:
    """Define no flags of its own."""


def print_explanation(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the story of a request."""
    if len(arguments) < 2:
        raise MisuseError("give a request id or a flow, and at least one log file")
    id, *paths = arguments
    try:
        lines = read_log_files(paths)
    except OSError as error:
        raise MisuseError(f"{error}; name files of log lines") from error
    story = explain(id, lines)
    if story is None:
        print(f"no line names {id!r}. {NOTHING_KNOWN}", file=sys.stderr)
        return EXIT_PROBLEM
    print(story)
    return EXIT_OK


EXPLAIN = Command(
    name="explain",
    summary="show what became of a request, from log files",
    arguments="ID LOGFILE...",
    text="Gathers the lines of all processes that touched a request (its id) or a "
    "flow (CLIENT:PORT>SERVICE:PORT), in order of time, with the beliefs that changed "
    "meanwhile, and says what they show.",
    define=define_flags,
    work=print_explanation,
)
