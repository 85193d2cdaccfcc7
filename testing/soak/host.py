"""Hosts of a soak: they check what reaches them, and run each request once."""

from __future__ import annotations

import time
from collections import Counter
from socket import inet_aton

from relay.network import pack_end

from daisygauge_platform._packets import ACK, BOUNCED, FIN, HEADER, SYN

WORK_SECONDS = 0.02


class HostFlow:
    """One flow at its host.

    :ivar answers: answer to the request at each sequence number, None while it runs.
    """

    def __init__(self, sequence, service_end):
        self.sequence = sequence
        self.service_end = service_end
        self.is_open = False
        self.answers = {}


class SoakHost:
    """An upstream of one service.

    :param send: takes what it sends to the agent's outbound address.
    :param call_later: calls a function after a time.
    :param report: takes a broken promise as text.
    :ivar ran: how often each request body has run.
    :ivar offered: monotonic time and client of each opening packet taken.
    """

    def __init__(
        self, *, address, service, service_end, split_end, rng, send, call_later, report
    ):
        self.address = address
        self.service = service
        self.own_ends = {pack_end(*service_end), pack_end(*split_end)}
        # Address of further routes of the service, whose ports come and go.
        self.probe_host = None
        self.rng = rng
        self.send = send
        self.call_later = call_later
        self.report = report
        self.flows = {}
        self.ran = Counter()
        self.is_dark = False
        self.is_leaving = False
        self.offered = []

    def receive(self, data):
        if self.is_dark:
            return
        seq, ack, length, flags, echo, dst, src, _ = HEADER.unpack_from(data)
        if flags & BOUNCED or echo or data[11:15] != bytes(4):
            self.report(f"{self.address} got a packet with marks of ours")
        if flags & SYN and flags & ACK:
            self.report(f"{self.address} got a host's answer")
        if not self.is_own(dst):
            self.receive_foreign(data, flags)
            return
        flow = self.flows.get(src)
        if flags & SYN:
            self.open(src, dst, flow)
        elif flow is None or not self.accepts(flow, ack):
            self.give_back(data)
        elif length:
            self.take(src, flow, seq, data[HEADER.size : HEADER.size + length])
        elif flags & FIN:
            del self.flows[src]

    def is_own(self, end):
        is_probe = self.probe_host is not None and end[:4] == inet_aton(self.probe_host)
        return end in self.own_ends or is_probe

    def receive_foreign(self, data, flags):
        """A packet of another service came; an opening one would have run there."""
        if flags & SYN:
            self.report(f"{self.address} of {self.service} was offered another's flow")
        self.give_back(data)

    def open(self, src, dst, flow):
        if flow is None:
            flow = self.flows[src] = HostFlow(self.rng.randrange(2**31), dst)
        self.offered.append((time.monotonic(), src))
        self.answer(src, flow, flags=SYN | ACK, sequence=flow.sequence)

    def accepts(self, flow, ack):
        """Only the host whose first number is acknowledged opens the flow."""
        is_own = ack == flow.sequence + 1
        flow.is_open = flow.is_open or is_own
        return is_own

    def take(self, src, flow, seq, body):
        """Run a request once, however often its packet comes."""
        if seq in flow.answers:
            if flow.answers[seq] is not None:
                self.answer(src, flow, flags=ACK, sequence=seq, data=flow.answers[seq])
            return
        flow.answers[seq] = None
        self.ran[body] += 1
        self.call_later(WORK_SECONDS, lambda: self.end(src, flow, seq, body))

    def end(self, src, flow, seq, body):
        if self.flows.get(src) is not flow:
            return
        flow.answers[seq] = b"HTTP/1.1 200 OK\r\n\r\n" + body
        self.answer(src, flow, flags=ACK, sequence=seq, data=flow.answers[seq])

    def answer(self, client, flow, *, flags, sequence, data=b""):
        if self.is_dark:
            return
        head = HEADER.pack(
            sequence, 1, len(data), flags, 0, client, flow.service_end, 5
        )
        self.send(head + data)

    def give_back(self, data):
        head = bytearray(data)
        head[10] |= BOUNCED
        self.send(bytes(head))

    def crash(self):
        """Lose every flow."""
        self.flows.clear()
