"""Sending of packets to callers, through balancers that answer probes."""

from __future__ import annotations

import asyncio

from daisygauge_policy import ReturnPaths
from daisygauge_records import Endpoint
from daisygauge_wire import Datagram, Kind, encode_load_report

from ._load_reports import LoadReportExchange
from ._node import AgentNode

PROBE_INTERVAL_SECONDS = 0.3


class ReplySender:
    """Probes balancers and distributes packets over those that answer."""

    def __init__(self, *, node: AgentNode, load_reports: LoadReportExchange) -> None:
        self.node = node
        self.load_reports = load_reports
        self.paths = ReturnPaths(agent=node.settings.id)
        self.known_version = -1

    def record_probe_answer(self, datagram: Datagram) -> None:
        """Record that a balancer answered a probe."""
        self.paths.report_answer(datagram.sender, now=self.node.now())

    def send_reply(self, packet: bytes, *, caller: Endpoint, via: Endpoint) -> None:
        """Send a packet to a caller through a balancer; drop it if none is known.

        :param via: service address that the caller uses.
        """
        balancer = self.paths.choose(now=self.node.now()) or self.node.last_balancer
        if balancer is None:
            return
        reply = Datagram(
            kind=Kind.REPLY,
            service=self.node.service_number or 0,
            incarnation=self.node.incarnation,
            caller=caller,
            address=via,
            sender=self.node.inner,
            payload=packet,
        )
        self.node.send(reply, receiver=balancer)

    def update_instances(self) -> None:
        """Update the return paths after a change of the instance list."""
        view = self.node.view
        if view.version != self.known_version:
            self.known_version = view.version
            self.paths.update_balancers(view.instances.values())

    def send_probes(self) -> None:
        """Send a probe with this agent's load to each of its balancers."""
        probe = Datagram(
            kind=Kind.PROBE,
            service=self.node.service_number or 0,
            incarnation=self.node.incarnation,
            sender=self.node.inner,
            payload=encode_load_report(self.load_reports.own_load_report()),
        )
        for balancer in self.paths.probe_targets(now=self.node.now()):
            self.node.send(probe, receiver=balancer)

    async def run(self) -> None:
        """Probe balancers until cancelled."""
        while True:
            self.update_instances()
            self.send_probes()
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
