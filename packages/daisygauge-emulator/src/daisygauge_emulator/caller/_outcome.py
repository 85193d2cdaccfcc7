"""Outcomes of a request as its caller knows them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Defect(enum.Enum):
    """Differences between an answer and the expected one."""

    WRONG_SERVICE = "wrong service"
    WRONG_REQUEST = "answer to another request"
    WRONG_BODY = "body differs from its digest"
    WRONG_LENGTH = "body differs from its length"


@dataclass(frozen=True, kw_only=True)
class Answered:
    """The answer arrived completely.

    :param headers: header values by lower-case name.
    :param defects: differences from the expected answer, empty if there are none.
    """

    status: int
    headers: dict[str, str]
    body: bytes = field(default=b"", repr=False)
    defects: frozenset[Defect] = frozenset()


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request did not run and will not run.

    :param retry_after_seconds: value of Retry-After, if the answer had one.
    """

    reason: str
    retry_after_seconds: float | None = None


@dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run, or may still run.

    :param host: ``x-daisygauge-host`` of the connection, if received; a retry has
        to send it.
    :param cut: whether the stream or connection ended before the answer.
    """

    reason: str
    host: str | None = None
    cut: bool = False


Outcome = Answered | NotRun | Unknown
