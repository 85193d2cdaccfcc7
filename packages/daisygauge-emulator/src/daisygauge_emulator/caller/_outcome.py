"""What a caller knows about a request in the end."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Defect(enum.Enum):
    """What is wrong with an answer."""

    WRONG_SERVICE = "wrong service"
    WRONG_REQUEST = "answer to another request"
    WRONG_BODY = "body differs from its digest"
    WRONG_LENGTH = "body differs from its length"


@dataclass(frozen=True, kw_only=True)
class Answered:
    """The whole answer arrived.

    :param headers: header values by lower-case name.
    :param defects: empty for a right answer.
    """

    status: int
    headers: dict[str, str]
    body: bytes = field(default=b"", repr=False)
    defects: frozenset[Defect] = frozenset()


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request did not run and will not run."""

    reason: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run, or may still run.

    :param host: ``x-daisygauge-host`` of the connection, when it was seen;
        a repeat has to name it.
    :param cut: True when the stream or connection ended before the answer.
    """

    reason: str
    host: str | None = None
    cut: bool = False


Outcome = Answered | NotRun | Unknown
