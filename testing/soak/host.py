"""Soak hosts that check the packets they receive and run each request once."""

from __future__ import annotations

import time
from collections import Counter
from socket import inet_aton

from relay.network import pack_endpoint

from daisygauge_platform._packets import ACK, BOUNCED, FIN, HEADER, SYN

WORK_SECONDS = 0.02


class HostFlow:
    """The host's side of one flow.

    :ivar answers: answer by the request's sequence number, None while it runs.
    """

    def __init__(self, sequence, service_endpoint):
        self.sequence = sequence
        self.service_endpoint = service_endpoint
        self.is_open = False
        self.answers = {}


class SoakHost:
    """An upstream of one service.

    :param send: function that sends a packet to the agent's outbound address.
    :param call_later: function that calls another after some seconds.
    :param report_violation: function that records a broken promise, as text.
    :ivar run_counts: number of runs by request body.
    :ivar is_unresponsive: True while the host neither receives nor sends.
    :ivar offered: monotonic time and client of each opening packet received.
    """

    def __init__(
        self,
        *,
        address,
        service,
        service_endpoint,
        split_endpoint,
        rng,
        send,
        call_later,
        report_violation,
    ):
        self.address = address
        self.service = service
        self.service_endpoints = {
            pack_endpoint(*service_endpoint),
            pack_endpoint(*split_endpoint),
        }
        # Address of the service's routes whose ports are added and removed.
        self.probe_address = None
        self.rng = rng
        self.send = send
        self.call_later = call_later
        self.report_violation = report_violation
        self.flows = {}
        self.run_counts = Counter()
        self.is_unresponsive = False
        self.is_leaving = False
        self.offered = []

    def receive(self, data):
        if self.is_unresponsive:
            return
        seq, ack, length, flags, echo, dst, src, _ = HEADER.unpack_from(data)
        if flags & BOUNCED or echo or data[11:15] != bytes(4):
            self.report_violation(
                f"{self.address} received a packet with internal header fields set"
            )
        if flags & SYN and flags & ACK:
            self.report_violation(
                f"{self.address} received a SYN-ACK, which only hosts send"
            )
        if not self.serves_endpoint(dst):
            self.handle_foreign_packet(data, flags)
            return
        flow = self.flows.get(src)
        if flags & SYN:
            self.handle_opening_packet(src, dst, flow)
        elif flow is None or not self.is_acknowledged(flow, ack):
            self.bounce(data)
        elif length:
            self.handle_request(
                src, flow, seq, data[HEADER.size : HEADER.size + length]
            )
        elif flags & FIN:
            del self.flows[src]

    def serves_endpoint(self, endpoint):
        is_probe = self.probe_address is not None and endpoint[:4] == inet_aton(
            self.probe_address
        )
        return endpoint in self.service_endpoints or is_probe

    def handle_foreign_packet(self, data, flags):
        """Bounce a packet of another service.

        An opening packet is also reported: its requests would have run on this host.
        """
        if flags & SYN:
            self.report_violation(
                f"{self.address} of {self.service} received another service's new flow"
            )
        self.bounce(data)

    def handle_opening_packet(self, src, dst, flow):
        if flow is None:
            flow = self.flows[src] = HostFlow(self.rng.randrange(2**31), dst)
        self.offered.append((time.monotonic(), src))
        self.send_answer(src, flow, flags=SYN | ACK, sequence=flow.sequence)

    def is_acknowledged(self, flow, ack):
        """Return True, and open the flow, if the acknowledged number is this host's."""
        is_match = ack == flow.sequence + 1
        flow.is_open = flow.is_open or is_match
        return is_match

    def handle_request(self, src, flow, seq, body):
        """Run a request once, however often its packet is received."""
        if seq in flow.answers:
            if flow.answers[seq] is not None:
                self.send_answer(
                    src, flow, flags=ACK, sequence=seq, data=flow.answers[seq]
                )
            return
        flow.answers[seq] = None
        self.run_counts[body] += 1
        self.call_later(WORK_SECONDS, lambda: self.finish_request(src, flow, seq, body))

    def finish_request(self, src, flow, seq, body):
        if self.flows.get(src) is not flow:
            return
        flow.answers[seq] = b"HTTP/1.1 200 OK\r\n\r\n" + body
        self.send_answer(src, flow, flags=ACK, sequence=seq, data=flow.answers[seq])

    def send_answer(self, client, flow, *, flags, sequence, data=b""):
        if self.is_unresponsive:
            return
        head = HEADER.pack(
            sequence, 1, len(data), flags, 0, client, flow.service_endpoint, 5
        )
        self.send(head + data)

    def bounce(self, data):
        head = bytearray(data)
        head[10] |= BOUNCED
        self.send(bytes(head))

    def crash(self):
        """Drop the state of every flow."""
        self.flows.clear()
