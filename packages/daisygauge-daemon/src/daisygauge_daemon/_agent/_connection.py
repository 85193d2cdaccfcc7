"""One caller's QUIC connection, ended by one task."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from daisygauge_records import Endpoint
from daisygauge_wire import RoutedConnection, send_goaway

from ._streams import RequestStream

MAX_INBOX_DATAGRAMS = 1_024
KEEPALIVE_SECONDS = 5.0
IDLE_KEEPALIVE_SECONDS = 10.0
"""Without requests nothing is lost meanwhile, and pings are the cost of idleness."""
TIMER_SLACK_SECONDS = 0.001


class ConnectionOwner(Protocol):
    """What a connection needs from its agent."""

    def add_connection_id(self, connection_id: bytes, owner: CallerConnection) -> None:
        """Route packets with an ID to a connection."""

    def remove_connection_id(self, connection_id: bytes) -> None:
        """Stop routing packets with an ID."""

    def send_reply(self, packet: bytes, *, caller: Endpoint, via: Endpoint) -> None:
        """Send a packet towards a caller."""

    async def serve(
        self, stream: RequestStream, fields: list[tuple[bytes, bytes]], caller: str
    ) -> None:
        """Answer one request."""


class CallerConnection:
    """A connection from its first flight to its end.

    :param address: service address that the caller uses.
    :ivar next_stream: the lowest request stream that has not been seen.
    :ivar goaway: the lowest request stream that is refused, if any.
    """

    def __init__(
        self,
        *,
        quic: RoutedConnection,
        owner: ConnectionOwner,
        caller: Endpoint,
        address: Endpoint,
    ) -> None:
        self.quic = quic
        self.owner = owner
        self.caller = caller
        self.address = address
        self.http: H3Connection | None = None
        self.inbox: deque[tuple[bytes, Endpoint]] = deque(maxlen=MAX_INBOX_DATAGRAMS)
        self.wake = asyncio.Event()
        self.streams: dict[int, RequestStream] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.next_stream = 0
        self.goaway: int | None = None
        self.ended = False
        self.end_reason = "stopped"
        self.timer: asyncio.Handle | None = None
        self.timer_at = 0.0
        self.quic_timer: float | None = None
        self.last_heard = 0.0
        self.last_ping = 0.0
        self.handlers: dict[type[QuicEvent], Callable[[QuicEvent], None]] = {
            ConnectionIdIssued: self.on_id_issued,
            ConnectionIdRetired: self.on_id_retired,
            ConnectionTerminated: self.on_terminated,
            ProtocolNegotiated: self.on_negotiated,
            StopSendingReceived: self.on_cancelled,
            StreamReset: self.on_cancelled,
        }

    def receive(self, packet: bytes, *, caller: Endpoint) -> None:
        """Queue a packet of the caller for the connection's task."""
        self.inbox.append((packet, caller))
        self.wake.set()

    def wake_up(self) -> None:
        """Send what is due in the task's next turn."""
        self.wake.set()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        loop = asyncio.get_running_loop()
        self.last_heard = loop.time()
        try:
            while not self.ended:
                await self.wake.wait()
                self.wake.clear()
                self.advance(now=loop.time())
                self.arm_timer(loop)
        finally:
            if self.timer is not None:
                self.timer.cancel()
            for task in self.tasks.values():
                task.cancel()

    def advance(self, *, now: float) -> None:
        """Take what came, answer what is due and send it.

        :param now: monotonic time in seconds.
        """
        while self.inbox:
            packet, caller = self.inbox.popleft()
            self.quic.receive_datagram(packet, (caller.host, caller.port), now)
            self.last_heard = now
        if self.quic_timer is not None and self.quic_timer <= now + TIMER_SLACK_SECONDS:
            self.quic.handle_timer(max(now, self.quic_timer))
        self.take_events()
        self.keep_alive(now=now)
        for packet, (host, port) in self.quic.datagrams_to_send(now):
            self.owner.send_reply(
                packet, caller=Endpoint(host=host, port=port), via=self.address
            )
        for stream in self.streams.values():
            stream.resume()

    def take_events(self) -> None:
        """Handle every event that the QUIC library has ready."""
        while (event := self.quic.next_event()) is not None:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
            if self.http is not None:
                for http_event in self.http.handle_event(event):
                    self.on_http_event(http_event)

    @property
    def keepalive_at(self) -> float:
        """Monotonic time in seconds at which a silent caller is asked."""
        interval = KEEPALIVE_SECONDS if self.tasks else IDLE_KEEPALIVE_SECONDS
        return max(self.last_heard, self.last_ping) + interval

    def keep_alive(self, *, now: float) -> None:
        """Ask a silent caller for a sign of life."""
        if now < self.keepalive_at:
            return
        self.last_ping = now
        if self.http is not None:
            self.quic.send_ping(0)

    def arm_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wake the task when the QUIC library or the keepalive needs it."""
        self.quic_timer = self.quic.get_timer()
        if self.quic_timer is None:
            return
        wanted = min(self.quic_timer, self.keepalive_at)
        # A timer that fires too early only costs one empty turn.
        if self.timer is not None and self.timer_at <= wanted:
            return
        if self.timer is not None:
            self.timer.cancel()
        # uvloop returns a handle without a time when the timer is due already.
        self.timer = loop.call_at(wanted, self.on_timer)
        self.timer_at = wanted

    def on_timer(self) -> None:
        """Wake the task; uvloop calls this up to a millisecond early."""
        self.timer = None
        self.wake.set()

    def on_id_issued(self, event: ConnectionIdIssued) -> None:
        """Receive packets with a new connection ID."""
        self.owner.add_connection_id(event.connection_id, self)

    def on_id_retired(self, event: ConnectionIdRetired) -> None:
        """Stop receiving packets with a retired connection ID."""
        self.owner.remove_connection_id(event.connection_id)

    def on_terminated(self, event: ConnectionTerminated) -> None:
        """End the task."""
        self.ended = True
        self.end_reason = event.reason_phrase or f"error {event.error_code:#x}"

    def on_negotiated(self, event: ProtocolNegotiated) -> None:
        """Start HTTP/3 on the connection."""
        self.http = H3Connection(self.quic)
        if self.goaway is not None:
            self.goaway = None
            self.go_away()

    def on_cancelled(self, event: StreamReset | StopSendingReceived) -> None:
        """Cancel the request of a stream that the caller gave up."""
        task = self.tasks.get(event.stream_id)
        if task is not None:
            task.cancel()

    def on_http_event(self, event: H3Event) -> None:
        """Start a request, or pass on a part of its body."""
        match event:
            case HeadersReceived():
                self.on_headers(event)
            case DataReceived():
                stream = self.streams.get(event.stream_id)
                if stream is not None:
                    stream.feed(event.data, ended=event.stream_ended)

    def on_headers(self, event: HeadersReceived) -> None:
        """Start the task of a request; trailers only end its body."""
        stream_id = event.stream_id
        known = self.streams.get(stream_id)
        if known is not None:
            known.feed(b"", ended=event.stream_ended)
            return
        self.next_stream = max(self.next_stream, stream_id + 4)
        stream = RequestStream(connection=self, stream_id=stream_id)
        stream.feed(b"", ended=event.stream_ended)
        if self.goaway is not None and stream_id >= self.goaway:
            stream.reset(ErrorCode.H3_REQUEST_REJECTED)
            return
        self.streams[stream_id] = stream
        caller = f"{self.caller.host}:{self.caller.port}"
        task = asyncio.create_task(self.owner.serve(stream, event.headers, caller))
        task.add_done_callback(lambda _: self.on_served(stream))
        self.tasks[stream_id] = task

    def on_served(self, stream: RequestStream) -> None:
        """Forget a stream; an answer that was not ended is reset."""
        if not stream.ended:
            stream.reset(ErrorCode.H3_INTERNAL_ERROR)
        stream.forget()
        self.streams.pop(stream.stream_id, None)
        self.tasks.pop(stream.stream_id, None)
        self.wake_up()

    def go_away(self) -> None:
        """Tell the caller that new requests have to use another connection."""
        if self.goaway is not None:
            return
        self.goaway = self.next_stream
        if self.http is not None:
            send_goaway(self.http, quic=self.quic, next_stream=self.goaway)
            self.wake_up()

    def has_unsent(self) -> bool:
        """Tell whether the caller has yet to acknowledge a part of an answer."""
        return self.quic.has_unacknowledged_answers()

    def close(self, *, reason: str) -> None:
        """Close the connection; its task ends after the closing period."""
        self.quic.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self.wake_up()
