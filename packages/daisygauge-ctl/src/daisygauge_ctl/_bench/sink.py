"""Receives packets until none arrives for a while, and prints the result as JSON.

The plan is a JSON text of ``SinkPlan``.

usage: python -m daisygauge_ctl._bench.sink PLAN
"""

from __future__ import annotations

import socket
import sys
import time

import cattrs.preconf.json
from hdrh.histogram import HdrHistogram

from daisygauge_wire import (
    Datagram,
    DerivedKeys,
    KeyRing,
    Kind,
    PlacementStatus,
    decode_datagram,
    encode_datagram,
    read_packet_header,
)

from ._sockets import open_socket
from ._traffic import SEND_TIME_BYTES, SinkPlan, SinkResult

QUIET_TIMEOUT_SECONDS = 0.5
START_TIMEOUT_SECONDS = 20.0
MAX_DATAGRAM_BYTES = 65_536
MAX_DELAY_NS = 60 * 10**9
NANOSECONDS_PER_SECOND = 1e9


class Sink:
    """Counts packets and measures their delays.

    :param plan: how to receive.
    :param udp_socket: socket to receive on.
    """

    def __init__(self, *, plan: SinkPlan, udp_socket: socket.socket) -> None:
        self.plan = plan
        self.udp_socket = udp_socket
        self.key = DerivedKeys(plan.answer_key) if plan.answer_key else None
        self.received = 0
        self.delays: list[int] = []
        self.first = self.last = 0.0

    def receive(self) -> None:
        """Receive until no packet arrives for ``QUIET_TIMEOUT_SECONDS``.

        The first packet may take ``START_TIMEOUT_SECONDS``.
        """
        self.udp_socket.settimeout(START_TIMEOUT_SECONDS)
        try:
            while True:
                data, sender = self.udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
                self.last = time.perf_counter()
                if not self.received:
                    self.first = self.last
                    self.udp_socket.settimeout(QUIET_TIMEOUT_SECONDS)
                self.received += 1
                self.handle(data, sender)
        except TimeoutError:
            return

    def handle(self, data: bytes, sender: tuple[str, int]) -> None:
        """Measure the delay of a packet and answer it, as far as the plan requires."""
        if self.plan.keep_delays:
            end = len(data) - self.plan.trailer_bytes
            sent = int.from_bytes(data[end - SEND_TIME_BYTES : end])
            self.delays.append(time.monotonic_ns() - sent)
        if self.key is not None:
            self.answer(data, sender)

    def answer(self, data: bytes, sender: tuple[str, int]) -> None:
        """Report to the balancer that a first flight was accepted."""
        keys = KeyRing(keys={self.key.number: self.key})
        offer = decode_datagram(data, keys=keys, now=time.time())
        header = read_packet_header(offer.payload)
        answer = Datagram(
            kind=Kind.PLACEMENT,
            service=offer.service,
            status=PlacementStatus.ACCEPTED,
            caller=offer.caller,
            payload=header.destination_id,
        )
        self.udp_socket.sendto(encode_datagram(answer, key=self.key), sender)

    def summarize(self) -> SinkResult:
        """Return the number and rate of packets and the percentiles of their delays."""
        seconds = self.last - self.first
        rate = self.received / seconds if seconds else 0.0
        if not self.delays:
            return SinkResult(received=self.received, rate=rate)
        histogram = HdrHistogram(1, MAX_DELAY_NS, 3)
        for delay in self.delays:
            histogram.record_value(max(delay, 1))
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percentile) / NANOSECONDS_PER_SECOND
            for percentile in (50.0, 99.0, 99.9)
        )
        return SinkResult(
            received=self.received, rate=rate, p50=p50, p99=p99, p999=p999
        )


if __name__ == "__main__":
    converter = cattrs.preconf.json.make_converter()
    plan = converter.loads(sys.argv[1], SinkPlan)
    sink = Sink(
        plan=plan, udp_socket=open_socket((plan.address.host, plan.address.port))
    )
    print("listening", flush=True)
    sink.receive()
    print(converter.dumps(sink.summarize()))
