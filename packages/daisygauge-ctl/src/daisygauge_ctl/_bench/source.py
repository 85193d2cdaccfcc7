"""Sends the packets of a plan, given as JSON on the command line.

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

from ._sockets import BUFFER_BYTES
from ._traffic import STAMP_BYTES, SourcePlan, SourceResult, TrafficKind

SOCKETS = 16
BATCH = 32
INITIAL_HEAD = b"\xc0\x00\x00\x00\x01\x08"
CALLER_ID_BYTES = 8


def stamp() -> bytes:
    """Return the time of sending."""
    return time.monotonic_ns().to_bytes(STAMP_BYTES)


def established_packets(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a maker of packets of established flows."""
    key = DerivedKeys(plan.key)
    route = Route(agent=plan.agent, service=plan.service, incarnation=1)
    heads = [
        b"\x40" + encode_connection_id(route=route, key=key) for _ in range(plan.flows)
    ]
    padding = bytes(plan.packet_bytes - len(heads[0]) - STAMP_BYTES)
    turn = cycle(heads)
    return lambda: b"".join((next(turn), padding, stamp()))


def first_flights(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a maker of first flights, each of a new flow."""
    ids = random.Random(plan.seed)
    padding = bytes(
        plan.packet_bytes - len(INITIAL_HEAD) - CALLER_ID_BYTES - STAMP_BYTES
    )
    return lambda: b"".join(
        (INITIAL_HEAD, ids.randbytes(CALLER_ID_BYTES), padding, stamp())
    )


def replies(plan: SourcePlan) -> Callable[[], bytes]:
    """Return a maker of replies; the tag does not cover the time stamp."""
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
    head, tag = data[: -tag_bytes - STAMP_BYTES], data[-tag_bytes:]
    return lambda: b"".join((head, stamp(), tag))


MAKERS = {
    TrafficKind.ESTABLISHED: established_packets,
    TrafficKind.REPLY: replies,
    TrafficKind.FIRST_FLIGHT: first_flights,
}


def open_senders(plan: SourcePlan) -> Iterator[Callable[[bytes], int]]:
    """Open sockets that send to the receiver, and take them in turn."""
    senders = []
    for _ in range(SOCKETS):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        opened.bind((plan.caller.host, 0))
        opened.connect((plan.receiver.host, plan.receiver.port))
        senders.append(opened.send)
    return cycle(senders)


def send_packets(plan: SourcePlan) -> SourceResult:
    """Send what the plan says, evenly spaced when it has a rate."""
    make = MAKERS[plan.kind](plan)
    senders = open_senders(plan)
    begin = time.perf_counter()
    sent = 0
    lateness = 0.0
    while True:
        now = time.perf_counter() - begin
        if now >= plan.seconds:
            return SourceResult(sent=sent, seconds=now, lateness_seconds=lateness)
        due = int(now * plan.rate) - sent if plan.rate else BATCH
        if plan.rate and due > 1:
            lateness = max(lateness, due / plan.rate)
        for _ in range(due):
            next(senders)(make())
        sent += max(due, 0)


if __name__ == "__main__":
    converter = cattrs.preconf.json.make_converter()
    result = send_packets(converter.loads(sys.argv[1], SourcePlan))
    print(converter.dumps(result))
