"""Requests, their outcomes, and where bodies come from and answers go."""

from __future__ import annotations

import dataclasses
from typing import Protocol

from attrs import frozen

from daisygauge_records import RequestClass

Headers = tuple[tuple[bytes, bytes], ...]


@frozen(kw_only=True, order=True)
class HostIncarnation:
    """One life of one agent.

    :param agent: instance id.
    """

    agent: str
    incarnation: int

    def __str__(self) -> str:
        return f"{self.agent};{self.incarnation}"


@frozen(kw_only=True)
class Request:
    """A request that a caller sent.

    :param path: target with its query string.
    :param headers: fields without pseudo-header fields, names in lower case.
    :param caller: the caller's address, for limits and logs.
    :param arrived: Unix time in seconds.
    :param deadline: Unix time in seconds at which the answer must be whole, or
        for a streaming class begun.
    :param first_host: where the caller first sent the idempotency key.
    :param handed_off: True when a peer agent ends the caller's connection.
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
    """The caller got the whole answer."""

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
    """The request may have run; there is no whole answer.

    :param late: True when the deadline passed.
    """

    reason: str
    late: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shed:
    """The upstream refused the request; the answer was kept back."""

    status: int
    headers: Headers
    body: bytes


Outcome = Answered | NotRun | Unknown


class Body(Protocol):
    """Where the body of a request comes from."""

    async def read(self) -> bytes:
        """Return the next part, or nothing at the end."""


class Answer(Protocol):
    """Where the answer to a request goes.

    :ivar started: True once the head was sent.
    """

    started: bool

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the status and the header fields."""

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body, waiting while too much is unsent."""

    async def send_end(self) -> None:
        """Mark the answer as whole."""
