"""One caller's QUIC connection, served by one task."""

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
"""Connections without requests are pinged less often, because pings are their main
cost, and a dead caller may be detected late while it has no request."""
TIMER_SLACK_SECONDS = 0.001
"""uvloop fires timers up to a millisecond early."""


class ConnectionOwner(Protocol):
    """Interface of the agent that a connection uses."""

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
    """A caller's connection, from its first flight to its end.

    :param address: service address that the caller uses.
    :ivar next_stream: lowest ID of a request stream that was not opened yet.
    :ivar goaway: lowest ID of a request stream that is refused, None before GOAWAY.
    :ivar last_received: monotonic time in seconds of the last packet.
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
        self.last_received = 0.0
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
        """Queue a packet from the caller for the connection's task."""
        self.inbox.append((packet, caller))
        self.wake.set()

    def wake_up(self) -> None:
        """Wake the connection's task, so that it sends pending packets."""
        self.wake.set()

    async def run(self) -> None:
        """Serve the connection until it ends."""
        loop = asyncio.get_running_loop()
        self.last_received = loop.time()
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
        """Process received packets, due timers and events, then send packets.

        :param now: monotonic time in seconds.
        """
        while self.inbox:
            packet, caller = self.inbox.popleft()
            self.quic.receive_datagram(packet, (caller.host, caller.port), now)
            self.last_received = now
        if self.quic_timer is not None and self.quic_timer <= now + TIMER_SLACK_SECONDS:
            self.quic.handle_timer(max(now, self.quic_timer))
        self.handle_events()
        self.keep_alive(now=now)
        for packet, (host, port) in self.quic.datagrams_to_send(now):
            self.owner.send_reply(
                packet, caller=Endpoint(host=host, port=port), via=self.address
            )
        for stream in self.streams.values():
            stream.resume()

    def handle_events(self) -> None:
        """Handle all pending events of the QUIC library."""
        while (event := self.quic.next_event()) is not None:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
            if self.http is not None:
                for http_event in self.http.handle_event(event):
                    self.on_http_event(http_event)

    @property
    def keepalive_at(self) -> float:
        """Monotonic time in seconds of the next keepalive ping."""
        interval = KEEPALIVE_SECONDS if self.tasks else IDLE_KEEPALIVE_SECONDS
        return max(self.last_received, self.last_ping) + interval

    def keep_alive(self, *, now: float) -> None:
        """Send a ping to a caller that was silent for the keepalive interval."""
        if now < self.keepalive_at:
            return
        self.last_ping = now
        if self.http is not None:
            self.quic.send_ping(0)

    def arm_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        """Arm a timer for the next deadline of the QUIC library or the keepalive."""
        self.quic_timer = self.quic.get_timer()
        if self.quic_timer is None:
            return
        due_at = min(self.quic_timer, self.keepalive_at)
        # A timer that fires too early only costs one wakeup without work.
        if self.timer is not None and self.timer_at <= due_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        # The due time is stored in timer_at, because the handle that uvloop returns
        # for a timer that is already due has no time.
        self.timer = loop.call_at(due_at, self.on_timer)
        self.timer_at = due_at

    def on_timer(self) -> None:
        """Wake the task when the timer fires."""
        self.timer = None
        self.wake.set()

    def on_id_issued(self, event: ConnectionIdIssued) -> None:
        """Start receiving packets with a new connection ID."""
        self.owner.add_connection_id(event.connection_id, self)

    def on_id_retired(self, event: ConnectionIdRetired) -> None:
        """Stop receiving packets with a retired connection ID."""
        self.owner.remove_connection_id(event.connection_id)

    def on_terminated(self, event: ConnectionTerminated) -> None:
        """End the task of a terminated connection."""
        self.ended = True
        self.end_reason = event.reason_phrase or f"error {event.error_code:#x}"

    def on_negotiated(self, event: ProtocolNegotiated) -> None:
        """Start HTTP/3 on the connection."""
        self.http = H3Connection(self.quic)
        if self.goaway is not None:
            self.goaway = None
            self.go_away()

    def on_cancelled(self, event: StreamReset | StopSendingReceived) -> None:
        """Cancel the request of a stream that the caller cancelled."""
        task = self.tasks.get(event.stream_id)
        if task is not None:
            task.cancel()

    def on_http_event(self, event: H3Event) -> None:
        """Start a request, or add a part of its body."""
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
        """Remove a stream; reset it if its answer is not complete."""
        if not stream.ended:
            stream.reset(ErrorCode.H3_INTERNAL_ERROR)
        stream.discard_unread()
        self.streams.pop(stream.stream_id, None)
        self.tasks.pop(stream.stream_id, None)
        self.wake_up()

    def go_away(self) -> None:
        """Send GOAWAY, so that the caller sends new requests on another connection."""
        if self.goaway is not None:
            return
        self.goaway = self.next_stream
        if self.http is not None:
            send_goaway(self.http, quic=self.quic, next_stream=self.goaway)
            self.wake_up()

    def has_unacknowledged_data(self) -> bool:
        """Return whether a part of an answer is not acknowledged yet."""
        return self.quic.has_unacknowledged_answers()

    def close(self, *, reason: str) -> None:
        """Close the connection; its task ends after the closing period."""
        self.quic.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self.wake_up()
