"""A feed that stays open for long and moves when its host leaves."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from attrs import define, field

from .._content import feed_number
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

POLL_SECONDS = 0.1
REOPEN_DELAY_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True)
class Event:
    """The next event of a feed."""

    number: int


@dataclass(frozen=True, kw_only=True)
class Ended:
    """A feed has ended.

    :param whole: True when the upstream ended it after a whole event.
    :param refused: True when it was said to be not run, so it never began.
    """

    whole: bool
    reason: str
    refused: bool = False


@define(kw_only=True)
class FeedReport:
    """What a caller saw of its feed.

    :param breaks: reasons of each end or gap that no planned change explains.
    :param moves: changes to another connection without a break.
    :param longest_silence_seconds: longest time between two events.
    """

    events: int = 0
    moves: int = 0
    breaks: list[str] = field(factory=list)
    longest_silence_seconds: float = 0.0
    hosts: list[str] = field(factory=list)


class FeedStream:
    """One answer of a feed on one connection."""

    def __init__(self, connection: Connection, exchange: Exchange) -> None:
        self.connection = connection
        self.exchange = exchange
        self.buffer = b""

    async def next(self) -> Event | Ended:
        """Wait for the next whole event or the end."""
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
                            whole=False,
                            reason=f"status {status.decode()}",
                            refused=outcome == b"not-run",
                        )
                case End():
                    whole = not self.buffer
                    return Ended(whole=whole, reason="ended by the upstream")
                case Reset(error_code=code):
                    return Ended(
                        whole=False,
                        reason=f"stream reset {code:#x}",
                        refused=code == REQUEST_REJECTED,
                    )
                case Closed(reason=reason):
                    return Ended(whole=False, reason=f"connection closed: {reason}")
        line, self.buffer = self.buffer.split(b"\n", 1)
        return Event(number=feed_number(line))


class Feed:
    """Reads numbered events without a gap, across hosts that leave.

    After GOAWAY it opens the feed on a new connection from the next number on
    and gives up the old one only then.
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
        self.moving: asyncio.Task[FeedStream | None] | None = None

    async def open(self) -> FeedStream | None:
        """Open the feed from the next expected number on, or return None."""
        separator = "&" if "?" in self.path else "?"
        path = f"{self.path}{separator}from={self.expected}"
        try:
            started = await self.caller.start(Request(path=path, deadline_seconds=None))
        except (ConnectionError, TimeoutError):
            return None
        return FeedStream(*started)

    async def run(self) -> None:
        """Read the feed until cancelled."""
        stream = None
        try:
            while True:
                stream = stream or await self.open()
                if stream is None:
                    await asyncio.sleep(REOPEN_DELAY_SECONDS)
                    continue
                stream = await self.step(stream)
        finally:
            self.note_silence(now=self.clock())
            if self.moving is not None:
                self.moving.cancel()
            if stream is not None:
                self.leave(stream)

    async def step(self, stream: FeedStream) -> FeedStream | None:
        """Take one event; return the stream to go on with, None to reopen."""
        try:
            async with asyncio.timeout(POLL_SECONDS):
                item = await stream.next()
        except TimeoutError:
            return await self.move(stream)
        match item:
            case Event(number=number):
                self.take(number, stream)
                return await self.move(stream)
            case Ended() as ended:
                return await self.take_end(stream, ended)

    def take(self, number: int, stream: FeedStream) -> None:
        """Note an event; earlier ones come twice after a move."""
        now = self.clock()
        if number > self.expected:
            self.report.breaks.append(f"gap from {self.expected} to {number}")
        if number < self.expected:
            return
        self.note_silence(now=now)
        self.last_event = now
        self.expected = number + 1
        self.report.events += 1
        host = stream.connection.exchanges.host
        if host and host not in self.report.hosts:
            self.report.hosts.append(host)

    def note_silence(self, *, now: float) -> None:
        """Take in the time since the last event.

        :param now: time of ``clock`` in seconds.
        """
        if self.last_event is not None:
            self.report.longest_silence_seconds = max(
                self.report.longest_silence_seconds, now - self.last_event
            )

    async def take_end(self, stream: FeedStream, ended: Ended) -> FeedStream | None:
        """Note the end of a stream and go on with the one being opened."""
        if ended.whole:
            self.report.moves += 1
        elif not ended.refused:
            self.report.breaks.append(ended.reason)
        self.leave(stream)
        if self.moving is None:
            await asyncio.sleep(REOPEN_DELAY_SECONDS * (not ended.whole))
            return None
        moved = await self.moving
        self.moving = None
        return moved

    async def move(self, stream: FeedStream) -> FeedStream:
        """Change to a new connection once the host of this one leaves."""
        if self.moving is None:
            if stream.connection.exchanges.leaving.is_set():
                self.moving = asyncio.create_task(self.open())
            return stream
        if not self.moving.done():
            return stream
        moved = self.moving.result()
        self.moving = None
        if moved is None:
            return stream
        self.report.moves += 1
        self.leave(stream)
        return moved

    def leave(self, stream: FeedStream) -> None:
        """Give up a stream."""
        stream.connection.cancel(stream.exchange)
        self.caller.finish(stream.connection, stream.exchange)
