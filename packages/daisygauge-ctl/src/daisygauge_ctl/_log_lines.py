"""Reads the events of daemons from log files."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from attrs import frozen

# Log collectors may put a time and the name of the process before each line.
_PREFIXED = re.compile(r"^\s*-?[\d.]+\s+(?P<process>\S+)\s+(?P<document>\{.*)$")
_COMMON_FIELDS = frozenset(
    {
        "event",
        "level",
        "text",
        "message_type",
        "timestamp",
        "task_uuid",
        "task_level",
        "at",
        "suppressed",
    }
)


@frozen(kw_only=True)
class LogLine:
    """An event that a process logged.

    :param at: Unix time of the event in seconds.
    :param event: number of the event.
    :param fields: the fields specific to the event.
    """

    at: float
    process: str
    event: int
    name: str
    text: str
    fields: dict[str, Any]

    def format(self, *, since: float) -> str:
        """Return the event as one line of text.

        :param since: Unix time in seconds from which the printed time counts.
        """
        fields = ", ".join(f"{key} {value}" for key, value in self.fields.items())
        return f"{self.at - since:+9.3f} s  {self.process}: {self.text} ({fields})"


def read_log_files(paths: Iterable[str]) -> tuple[LogLine, ...]:
    """Read the events of some files in order of time, skipping all other lines.

    The name of a file, without its suffix, is the process of the lines that name none.

    :raises OSError: a file is unreadable.
    """
    lines: list[LogLine] = []
    for path in paths:
        text = Path(path).read_text(encoding="utf-8", errors="replace")
        lines += read_lines(text.splitlines(), process=Path(path).stem)
    return tuple(sorted(lines, key=lambda line: line.at))


def read_lines(lines: Iterable[str], *, process: str) -> Iterator[LogLine]:
    """Yield the events of the lines of one file, skipping all other lines.

    :param process: name of the process for lines that don't name one.
    """
    for line in lines:
        prefixed = _PREFIXED.match(line)
        document = prefixed["document"] if prefixed else line
        found = _read_document(
            document, process=prefixed["process"] if prefixed else process
        )
        if found is not None:
            yield found


def _read_document(document: str, *, process: str) -> LogLine | None:
    try:
        fields = json.loads(document)
        return LogLine(
            at=float(fields.get("at", fields["timestamp"])),
            process=process,
            event=int(fields["event"]),
            name=str(fields["message_type"]).partition(":")[2],
            text=str(fields["text"]),
            fields={k: v for k, v in fields.items() if k not in _COMMON_FIELDS},
        )
    except (ValueError, TypeError, KeyError):
        return None
