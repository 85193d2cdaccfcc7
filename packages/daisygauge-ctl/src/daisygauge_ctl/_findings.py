"""What a check reports about a file."""

from __future__ import annotations

import enum

from attrs import frozen

from daisygauge_records import Problem


class Severity(enum.Enum):
    """How serious a finding is.

    ERROR: the processes refuse the file, or it can't take effect.
    WARNING: the processes accept it, but a part has no effect or contradicts another.
    """

    ERROR = "error"
    WARNING = "warning"


@frozen(kw_only=True)
class Finding:
    """A problem with one field of a checked file.

    :param source: the file, or the record in it.
    """

    severity: Severity
    source: str
    problem: Problem

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.source}: {self.problem}"

    def to_json(self) -> dict[str, str]:
        """Return the finding for ``--format=json``."""
        return {
            "severity": self.severity.value,
            "source": self.source,
            "field": self.problem.path,
            "message": self.problem.message,
            "remedy": self.problem.remedy,
        }
