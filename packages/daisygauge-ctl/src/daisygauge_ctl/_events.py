"""``daisygaugectl events``: the catalogue of events."""

from __future__ import annotations

from collections.abc import Sequence

from absl import flags

from daisygauge_daemon import Event, MisuseError, all_events
from daisygauge_relay import RELAY_EVENTS

from ._command import EXIT_OK, Command

MARKDOWN_HEADING = """# Events

Each daemon writes one line of JSON for each event to standard output. Beside the
fields below a line holds `event` (the number), `level`, `text`, `message_type`
(`daisygauge:` and the name), `timestamp` (Unix time in seconds), `task_uuid` and
`task_level`; processes of relayed flows add `at`, the Unix time of the event itself.
Events marked *limited* can be caused by outsiders; at most 5 lines a second are
written of each (burst 20; 40 and 200 for flows, numbers from 600 on), and
`suppressed` tells how many were left out since the last one.

Each placement of a new flow, each hand-off and each refusal is an event. Packets
of established flows need no decision: they are counted in
`daisygauge_packets_total`, not logged.

This page is written by `daisygaugectl events --format=markdown`.

| number | name | level | fields | text |
|---|---|---|---|---|
"""


def list_events() -> tuple[Event, ...]:
    """Return the events of every kind of process, ordered by number."""
    events = (*all_events(), *RELAY_EVENTS)
    return tuple(sorted(events, key=lambda event: event.number))


def format_line(event: Event) -> str:
    """Return an event as one line of plain text."""
    limited = " (limited)" if event.limited else ""
    return (
        f"{event.number} {event.name} [{event.level.name.lower()}]{limited} "
        f"{', '.join(event.fields)}: {event.text}"
    )


def format_row(event: Event) -> str:
    """Return an event as one row of a Markdown table."""
    fields = ", ".join(f"`{name}`" for name in event.fields)
    level = event.level.name.lower() + (", *limited*" if event.limited else "")
    return f"| {event.number} | {event.name} | {level} | {fields} | {event.text} |"


def format_page() -> str:
    """Return the whole catalogue as a Markdown page."""
    return MARKDOWN_HEADING + "\n".join(map(format_row, list_events())) + "\n"


def format_list() -> str:
    """Return the whole catalogue as plain text."""
    return "\n".join(map(format_line, list_events())) + "\n"


FORMATS = {"text": format_list, "markdown": format_page}


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of ``events``."""
    flags.DEFINE_enum(
        "format", "text", list(FORMATS), "How to print it.", flag_values=values
    )


def print_events(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the catalogue."""
    if arguments:
        raise MisuseError(f"unexpected argument {arguments[0]!r}; give only flags")
    print(FORMATS[values.format](), end="")
    return EXIT_OK


EVENTS = Command(
    name="events",
    summary="print the catalogue of numbered events",
    arguments="",
    text="Prints every event that a daemon can log, with its number, level and fields.",
    define=define_flags,
    work=print_events,
)
