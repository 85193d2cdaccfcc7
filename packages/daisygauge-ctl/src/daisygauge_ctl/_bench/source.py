"""Sends the packets of a plan and prints the result as JSON.

The plan is a JSON text of ``SourcePlan``.

usage: python -m daisygauge_ctl._bench.source PLAN
"""

from __future__ import annotations

import random
import socket
import sys
import time
from collections.abc import Callable, Iterator
from itertools import cycle

import cattrs.preconf.json

from daisygauge_wire import (
    Datagram,
    DerivedKeys,
    Kind,
    Route,
    encode_connection_id,
    encode_datagram,
)

from ._sockets import SOCKET_BUFFER_BYTES
from ._traffic import SEND_TIME_BYTES, SourcePlan, SourceResult, TrafficKind

SOCKET_COUNT = 16
BATCH_PACKETS = 32
INITIAL_HEADER = b"\xc0\x00\x00\x00\x01\x08"
CALLER_ID_BYTES = 8


def encode_send_time() -> bytes:
    """Return the encoded time at which a packet is sent."""
    return time.monotonic_ns().to_bytes(SEND_TIME_BYTES)


def make_established_builder(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a function that builds packets of established flows."""
    key = DerivedKeys(plan.key)
    route = Route(agent=plan.agent, service=plan.service, incarnation=1)
    headers = [
        b"\x40" + encode_connection_id(route=route, key=key) for _ in range(plan.flows)
    ]
    padding = bytes(plan.packet_bytes - len(headers[0]) - SEND_TIME_BYTES)
    header_cycle = cycle(headers)
    return lambda: b"".join((next(header_cycle), padding, encode_send_time()))


def make_first_flight_builder(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a function that builds first flights, each of a new flow."""
    ids = random.Random(plan.seed)
    padding = bytes(
        plan.packet_bytes - len(INITIAL_HEADER) - CALLER_ID_BYTES - SEND_TIME_BYTES
    )
    return lambda: b"".join(
        (INITIAL_HEADER, ids.randbytes(CALLER_ID_BYTES), padding, encode_send_time())
    )


def make_reply_builder(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a function that builds replies.

    The tag does not cover the send time, so all replies have the same tag.
    """
    reply = Datagram(
        kind=Kind.REPLY,
        service=plan.service,
        incarnation=1,
        caller=plan.caller,
        sender=plan.agent,
        payload=bytes(plan.packet_bytes),
    )
    data = encode_datagram(reply, key=DerivedKeys(plan.key))
    tag_bytes = 8
    head, tag = data[: -tag_bytes - SEND_TIME_BYTES], data[-tag_bytes:]
    return lambda: b"".join((head, encode_send_time(), tag))


BUILDER_FACTORIES = {
    TrafficKind.ESTABLISHED: make_established_builder,
    TrafficKind.REPLY: make_reply_builder,
    TrafficKind.FIRST_FLIGHT: make_first_flight_builder,
}


def open_senders(plan: SourcePlan) -> Iterator[Callable[[bytes], int]]:
    """Open sockets to the receiver and return a cycle of their send methods."""
    senders = []
    for _ in range(SOCKET_COUNT):
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        udp_socket.bind((plan.caller.host, 0))
        udp_socket.connect((plan.receiver.host, plan.receiver.port))
        senders.append(udp_socket.send)
    return cycle(senders)


def send_packets(plan: SourcePlan) -> SourceResult:
    """Send the packets of a plan, evenly spaced if it has a rate."""
    build_packet = BUILDER_FACTORIES[plan.kind](plan)
    senders = open_senders(plan)
    started_at = time.perf_counter()
    sent = 0
    lateness = 0.0
    while True:
        now = time.perf_counter() - started_at
        if now >= plan.seconds:
            return SourceResult(sent=sent, seconds=now, lateness_seconds=lateness)
        due = int(now * plan.rate) - sent if plan.rate else BATCH_PACKETS
        if plan.rate and due > 1:
            lateness = max(lateness, due / plan.rate)
        for _ in range(due):
            next(senders)(build_packet())
        sent += max(due, 0)


if __name__ == "__main__":
    converter = cattrs.preconf.json.make_converter()
    result = send_packets(converter.loads(sys.argv[1], SourcePlan))
    print(converter.dumps(result))
