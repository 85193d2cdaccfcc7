"""Receives packets until none comes any more; the plan is JSON.

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
from ._traffic import STAMP_BYTES, SinkPlan, SinkResult

QUIET_SECONDS = 0.5
START_SECONDS = 20.0
MAX_DATAGRAM_BYTES = 65_536
HIGHEST_DELAY_NS = 60 * 10**9
NANOSECONDS = 1e9


class Sink:
    """Counts packets and measures their delays.

    :param opened: the socket that receives.
    """

    def __init__(self, *, plan: SinkPlan, opened: socket.socket) -> None:
        self.plan = plan
        self.opened = opened
        self.key = DerivedKeys(plan.answer_key) if plan.answer_key else None
        self.received = 0
        self.delays: list[int] = []
        self.first = self.last = 0.0

    def receive(self) -> None:
        """Receive until it has been quiet for a while."""
        self.opened.settimeout(START_SECONDS)
        try:
            while True:
                data, sender = self.opened.recvfrom(MAX_DATAGRAM_BYTES)
                self.last = time.perf_counter()
                if not self.received:
                    self.first = self.last
                    self.opened.settimeout(QUIET_SECONDS)
                self.received += 1
                self.handle(data, sender)
        except TimeoutError:
            return

    def handle(self, data: bytes, sender: tuple[str, int]) -> None:
        """Do what the plan asks for with each packet."""
        if self.plan.keep_delays:
            end = len(data) - self.plan.trailer_bytes
            sent = int.from_bytes(data[end - STAMP_BYTES : end])
            self.delays.append(time.monotonic_ns() - sent)
        if self.key is not None:
            self.answer(data, sender)

    def answer(self, data: bytes, sender: tuple[str, int]) -> None:
        """Tell the balancer that a first flight was taken."""
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
        self.opened.sendto(encode_datagram(answer, key=self.key), sender)

    def summarize(self) -> SinkResult:
        """Return counts and percentiles."""
        seconds = self.last - self.first
        rate = self.received / seconds if seconds else 0.0
        if not self.delays:
            return SinkResult(received=self.received, rate=rate)
        histogram = HdrHistogram(1, HIGHEST_DELAY_NS, 3)
        for delay in self.delays:
            histogram.record_value(max(delay, 1))
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percentile) / NANOSECONDS
            for percentile in (50.0, 99.0, 99.9)
        )
        return SinkResult(
            received=self.received, rate=rate, p50=p50, p99=p99, p999=p999
        )


if __name__ == "__main__":
    converter = cattrs.preconf.json.make_converter()
    plan = converter.loads(sys.argv[1], SinkPlan)
    sink = Sink(plan=plan, opened=open_socket((plan.address.host, plan.address.port)))
    print("listening", flush=True)
    sink.receive()
    print(converter.dumps(sink.summarize()))
