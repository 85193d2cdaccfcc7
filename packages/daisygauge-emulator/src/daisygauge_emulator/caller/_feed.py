"""A long-lived feed that moves to another connection when its host leaves."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from attrs import define, field

from .._content import parse_feed_number
from ._caller import Caller
from ._exchange import (
    REQUEST_REJECTED,
    Closed,
    Connection,
    Data,
    End,
    Exchange,
    HeaderBlock,
    Reset,
)
from ._request import Request

GOAWAY_POLL_SECONDS = 0.1
REOPEN_DELAY_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class Event:
    """An event of a feed.

    :param number: number of the event in the feed.
    """

    number: int


@dataclass(frozen=True, kw_only=True)
class Ended:
    """The end of a feed's stream.

    :param complete: whether the upstream ended the stream after a complete event.
    :param refused: whether the request did not run, so that no feed began.
    """

    complete: bool
    reason: str
    refused: bool = False


@define(kw_only=True)
class FeedReport:
    """Statistics of a feed as its caller saw it.

    :param events: number of events without duplicates.
    :param breaks: reasons of unplanned ends and gaps.
    :param moves: number of moves to another connection without a break.
    :param longest_silence_seconds: longest time between two events, or from the
        last event to the end.
    :param hosts: ``x-daisygauge-host`` of each host that served the feed.
    """

    events: int = 0
    moves: int = 0
    breaks: list[str] = field(factory=list)
    longest_silence_seconds: float = 0.0
    hosts: list[str] = field(factory=list)


class FeedStream:
    """The answer to one request for a feed."""

    def __init__(self, connection: Connection, exchange: Exchange) -> None:
        self.connection = connection
        self.exchange = exchange
        self.buffer = b""

    async def next(self) -> Event | Ended:
        """Wait for the next complete event or for the end of the stream."""
        while b"\n" not in self.buffer:
            match await self.exchange.events.get():
                case Data(data=data):
                    self.buffer += data
                case HeaderBlock(headers=headers):
                    fields = dict(headers)
                    status = fields.get(b":status", b"")
                    if status != b"200":
                        outcome = fields.get(b"x-daisygauge-outcome")
                        return Ended(
                            complete=False,
                            reason=f"status {status.decode()}",
                            refused=outcome == b"not-run",
                        )
                case End():
                    complete = not self.buffer
                    return Ended(complete=complete, reason="ended by the upstream")
                case Reset(error_code=code):
                    return Ended(
                        complete=False,
                        reason=f"stream reset {code:#x}",
                        refused=code == REQUEST_REJECTED,
                    )
                case Closed(reason=reason):
                    return Ended(complete=False, reason=f"connection closed: {reason}")
        line, self.buffer = self.buffer.split(b"\n", 1)
        return Event(number=parse_feed_number(line))


class Feed:
    """Reads numbered events without gaps while hosts leave.

    After GOAWAY the feed is opened on a new connection, starting at the next
    number. The old stream is closed only after that.

    :param clock: returns the time in seconds.
    :ivar expected: number of the next event.
    :ivar opening: task that opens the feed on another connection.
    """

    def __init__(
        self,
        caller: Caller,
        *,
        path: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.caller = caller
        self.path = path
        self.clock = clock
        self.report = FeedReport()
        self.expected = 0
        self.last_event: float | None = None
        self.opening: asyncio.Task[FeedStream | None] | None = None

    async def open(self) -> FeedStream | None:
        """Open the feed at the next expected number; return None if that fails."""
        separator = "&" if "?" in self.path else "?"
        path = f"{self.path}{separator}from={self.expected}"
        try:
            started = await self.caller.start(Request(path=path, deadline_seconds=None))
        except (ConnectionError, TimeoutError):
            return None
        return FeedStream(*started)

    async def run(self) -> None:
        """Read the feed until cancelled; reopen it after each end."""
        stream = None
        try:
            while True:
                stream = stream or await self.open()
                if stream is None:
                    await asyncio.sleep(REOPEN_DELAY_SECONDS)
                    continue
                stream = await self.read_next(stream)
        finally:
            self.record_silence(now=self.clock())
            if self.opening is not None:
                self.opening.cancel()
            if stream is not None:
                self.close_stream(stream)

    async def read_next(self, stream: FeedStream) -> FeedStream | None:
        """Process one event or end and return the stream to read next.

        :return: None if the feed has to be opened again.
        """
        try:
            async with asyncio.timeout(GOAWAY_POLL_SECONDS):
                item = await stream.next()
        except TimeoutError:
            return await self.move_if_leaving(stream)
        match item:
            case Event(number=number):
                self.handle_event(number, stream)
                return await self.move_if_leaving(stream)
            case Ended() as ended:
                return await self.handle_end(stream, ended)

    def handle_event(self, number: int, stream: FeedStream) -> None:
        """Record an event; ignore duplicates, which occur after a move."""
        now = self.clock()
        if number > self.expected:
            self.report.breaks.append(f"gap from {self.expected} to {number}")
        if number < self.expected:
            return
        self.record_silence(now=now)
        self.last_event = now
        self.expected = number + 1
        self.report.events += 1
        host = stream.connection.exchanges.host
        if host and host not in self.report.hosts:
            self.report.hosts.append(host)

    def record_silence(self, *, now: float) -> None:
        """Update the longest silence with the time since the last event.

        :param now: time of ``clock`` in seconds.
        """
        if self.last_event is not None:
            self.report.longest_silence_seconds = max(
                self.report.longest_silence_seconds, now - self.last_event
            )

    async def handle_end(self, stream: FeedStream, ended: Ended) -> FeedStream | None:
        """Record the end of a stream and return the one that is being opened."""
        if ended.complete:
            self.report.moves += 1
        elif not ended.refused:
            self.report.breaks.append(ended.reason)
        self.close_stream(stream)
        if self.opening is None:
            await asyncio.sleep(REOPEN_DELAY_SECONDS * (not ended.complete))
            return None
        moved = await self.opening
        self.opening = None
        return moved

    async def move_if_leaving(self, stream: FeedStream) -> FeedStream:
        """Open the feed on a new connection if the host of this one leaves.

        :return: the new stream once it is open, until then the given one.
        """
        if self.opening is None:
            if stream.connection.exchanges.leaving.is_set():
                self.opening = asyncio.create_task(self.open())
            return stream
        if not self.opening.done():
            return stream
        moved = self.opening.result()
        self.opening = None
        if moved is None:
            return stream
        self.report.moves += 1
        self.close_stream(stream)
        return moved

    def close_stream(self, stream: FeedStream) -> None:
        """Cancel the answer and remove its exchange."""
        stream.connection.cancel(stream.exchange)
        self.caller.remove_exchange(stream.connection, stream.exchange)
