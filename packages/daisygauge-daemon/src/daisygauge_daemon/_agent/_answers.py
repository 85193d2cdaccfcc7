"""Answers and outcomes as they are sent to callers."""

from __future__ import annotations

import math

from aioquic.h3.connection import ErrorCode

from ._headers import HOST_HEADER, OUTCOME_HEADER
from ._model import Answered, Headers, HostIncarnation, NotRun, Outcome, Unknown
from ._streams import RequestStream

STATUS_MALFORMED = 400
STATUS_BROKEN_UPSTREAM = 502
STATUS_NOT_RUN = 503
STATUS_LATE = 504
_OWN_PREFIX = b"x-daisygauge-"


class CallerAnswer:
    """Writes an answer that names the host to which the caller is connected.

    :param stream: the request's stream.
    """

    def __init__(self, *, stream: RequestStream, host: HostIncarnation) -> None:
        self.stream = stream
        self.host = host

    @property
    def started(self) -> bool:
        """True once the head was sent."""
        return self.stream.started

    async def send_head(self, *, status: int, headers: Headers) -> None:
        """Send the head, without ``x-daisygauge-`` fields that the upstream set."""
        kept = tuple(field for field in headers if not field[0].startswith(_OWN_PREFIX))
        host = (HOST_HEADER, str(self.host).encode())
        await self.stream.send_head(status=status, headers=(*kept, host))

    async def send_body(self, part: bytes) -> None:
        """Send a part of the body."""
        await self.stream.send_body(part)

    async def send_end(self) -> None:
        """Mark the answer as complete."""
        await self.stream.send_end()

    async def finish(self, outcome: Outcome) -> None:
        """Send the outcome of a request that has no complete answer."""
        match outcome:
            case Answered():
                return
            case NotRun(reason=reason, retry_after=retry_after):
                # Retry-After is in whole seconds (RFC 9110, 10.2.3).
                seconds = str(max(math.ceil(retry_after), 1)).encode()
                await self.refuse(
                    status=STATUS_NOT_RUN,
                    outcome=b"not-run",
                    extra=((b"retry-after", seconds),),
                    reason=reason,
                )
            case Unknown(reason=reason, late=late):
                await self.finish_unknown(reason=reason, late=late)

    async def finish_unknown(self, *, reason: str, late: bool) -> None:
        """Send that the outcome is unknown, or reset an answer that has begun."""
        if self.started:
            self.stream.reset(ErrorCode.H3_INTERNAL_ERROR)
            return
        status = STATUS_LATE if late else STATUS_BROKEN_UPSTREAM
        await self.refuse(status=status, outcome=b"unknown", reason=reason)

    async def refuse(
        self, *, status: int, outcome: bytes, reason: str, extra: Headers = ()
    ) -> None:
        """Send a short answer that the agent itself writes."""
        text = reason.encode()
        host = (HOST_HEADER, str(self.host).encode())
        headers = (
            (b"content-type", b"text/plain"),
            (b"content-length", str(len(text)).encode()),
            (OUTCOME_HEADER, outcome),
            host,
            *extra,
        )
        await self.stream.send_head(status=status, headers=headers)
        await self.stream.send_body(text)
        await self.stream.send_end()
