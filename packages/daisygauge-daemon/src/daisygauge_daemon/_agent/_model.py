"""Requests, their outcomes, and the interfaces of bodies and answers."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from attrs import frozen

from daisygauge_records import RequestClass

Headers = tuple[tuple[bytes, bytes], ...]


@frozen(kw_only=True, order=True)
class HostIncarnation:
    """One run of an agent's process.

    :param agent: instance id.
    :param incarnation: number of the start, see :func:`incarnation_at`.
    """

    agent: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.agent};{self.incarnation}"


@frozen(kw_only=True)
class Request:
    """A caller's request.

    :param id: request id, from the caller or generated.
    :param path: target with its query string.
    :param headers: fields without pseudo-header fields, names in lower case.
    :param caller: address of the caller, used for limits and logs.
    :param arrived: Unix time in seconds.
    :param deadline: Unix time in seconds by which the answer must be complete, or,
        for a streaming class, must have begun.
    :param first_host: host to which the caller first sent the idempotency key.
    :param handed_off: True when a peer agent holds the caller's connection.
    """

    id: str
    method: str
    path: str
    headers: Headers
    caller: str
    request_class: RequestClass
    arrived: float
    deadline: float
    idempotency_key: str | None = None
    first_host: HostIncarnation | None = None
    handed_off: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The complete answer was sent to the caller."""

    status: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """The request has not run and will not run.

    :param retry_after: seconds after which a repeat may succeed.
    """

    reason: str
    retry_after: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have run; no complete answer was sent.

    :param late: True when the deadline passed.
    """

    reason: str
    late: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shed:
    """The upstream refused the request for overload; the answer is not sent yet."""

    status: int
    headers: Headers
    body: bytes


Outcome = Answered | NotRun | Unknown


class Body(Protocol):
    """Source of a request's body."""

    async def read(self) -> bytes:
        """Return the next part, or ``b""`` at the end."""


class Answer(Protocol):
    """Destination of the answer to a request.

    :ivar started: True once the head was sent.
    """

    started: bool

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the status and the header fields."""

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body; wait while too much of it is unsent."""

    async def send_end(self) -> None:
        """Mark the answer as complete."""
