"""The socket between a balancer and the agents."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from daisygauge_records import Endpoint, Upstream
from daisygauge_wire import (
    Datagram,
    DerivedKeys,
    KeyRing,
    Kind,
    MalformedDatagramError,
    decode_datagram,
    decode_load_report,
    encode_datagram,
    is_reply,
    read_reply,
    unpack_endpoint,
)

from .._datagrams import ResilientDatagramProtocol
from .._events import EventLog
from . import _events as events
from ._metrics import BalancerCounts
from ._outer import OuterSocket
from ._placer import Placer


class InnerSocket(ResilientDatagramProtocol):
    """Receives replies, answers to first flights and probes from agents.

    :param local: inner address of this balancer.
    :param incarnation: incarnation of this balancer.
    """

    def __init__(
        self,
        *,
        local: Endpoint,
        incarnation: int,
        counts: BalancerCounts,
        log: EventLog,
    ) -> None:
        super().__init__(log=log)
        self.local = local
        self.incarnation = incarnation
        self.drops = counts.drops
        self.placer = Placer(send=self.send, sender=local, counts=counts, log=log)
        self.keys = KeyRing(keys={})
        self.accepted_keys: Mapping[int, DerivedKeys] = {}
        self.outers: dict[bytes, OuterSocket] = {}
        self.hosts: dict[tuple[int, Endpoint], Upstream] = {}
        self.answers_probes = True
        self.transport: asyncio.DatagramTransport | None = None
        self.handlers: dict[Kind, Callable[[Datagram, Endpoint], None]] = {
            Kind.PLACEMENT: self.handle_placed,
            Kind.PROBE: self.handle_probe,
        }

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for sending."""
        self.transport = transport

    def use_keys(self, keys: KeyRing, *, now: float) -> None:
        """Put keys in force.

        :param now: Unix time in seconds.
        """
        self.keys = keys
        self.accepted_keys = keys.accepted(now=now)

    def send(self, datagram: Datagram, receiver: Endpoint) -> None:
        """Sign a datagram with the newest key and send it."""
        key = self.keys.newest(now=time.time())
        if key is None:
            self.drops["no-key"] += 1
            return
        data = encode_datagram(datagram, key=key)
        self.transport.sendto(data, (receiver.host, receiver.port))

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle one inner datagram."""
        try:
            if is_reply(data):
                self.forward_reply(data)
            else:
                self.handle_message(data, sender)
        except MalformedDatagramError as error:
            self.drop(sender, error.reason)

    def forward_reply(self, data: bytes) -> None:
        """Forward a packet to its caller from the address of its service."""
        reply = read_reply(data, keys=self.accepted_keys)
        outer = self.outers.get(reply.service)
        if outer is None:
            raise MalformedDatagramError("unknown-service")
        outer.send_reply(reply.packet, unpack_endpoint(reply.caller))

    def record_defect(self) -> None:
        """Count a datagram whose handling raised an unexpected error."""
        self.drops["inner-defect"] += 1

    def handle_message(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram that is not a reply."""
        datagram = decode_datagram(data, keys=self.keys, now=time.time())
        handler = self.handlers.get(datagram.kind)
        if handler is None:
            raise MalformedDatagramError("kind")
        handler(datagram, Endpoint(host=sender[0], port=sender[1]))

    def handle_placed(self, datagram: Datagram, sender: Endpoint) -> None:
        """Pass an agent's answer to a first flight on to the placer."""
        self.placer.handle_answer(
            datagram, agent=sender, now=time.monotonic(), time_now=time.time()
        )

    def handle_probe(self, datagram: Datagram, sender: Endpoint) -> None:
        """Record the load report in a probe and answer the probe."""
        host = self.hosts.get((datagram.service, sender))
        if host is not None and datagram.payload:
            self.handle_load_report(host.id, datagram)
        if not self.answers_probes:
            return
        answer = Datagram(
            kind=Kind.PROBE_ANSWER,
            service=datagram.service,
            incarnation=self.incarnation,
            sender=self.local,
        )
        self.send(answer, sender)

    def handle_load_report(self, host: str, datagram: Datagram) -> None:
        """Record the load report that a probe carries."""
        try:
            report = decode_load_report(datagram.payload)
        except ValueError as error:
            raise MalformedDatagramError("gauge") from error
        self.placer.hosts.record_load_report(
            host, incarnation=datagram.incarnation, report=report, now=time.time()
        )

    def drop(self, sender: tuple[str, int], reason: str) -> None:
        """Count and log an inner datagram that is dropped."""
        self.drops[f"inner-{reason}"] += 1
        self.log.write(
            events.INNER_DROPPED, sender=f"{sender[0]}:{sender[1]}", reason=reason
        )

    def error_received(self, error: OSError) -> None:
        """Count a datagram that the operating system refused to send."""
        self.drops["inner-send-error"] += 1
