"""Exchange of load reports with peers."""

from __future__ import annotations

import asyncio
from typing import Protocol

from daisygauge_policy import PeerLoadReports
from daisygauge_records import Endpoint, Upstream
from daisygauge_wire import (
    Datagram,
    Kind,
    LoadReport,
    decode_load_report,
    encode_load_report,
)

from ._node import AgentNode

LOAD_REPORT_INTERVAL_SECONDS = 0.2
LOAD_REPORT_PEERS = 8


class LoadReader(Protocol):
    """Provides the agent's own load."""

    def build_load_report(self, *, sequence: int) -> LoadReport:
        """Return a report of the current load."""


class LoadReportExchange:
    """Sends this agent's load report to some peers and stores theirs.

    :param load: provides this agent's own load.
    :ivar changed: set to send a report before the interval has passed.
    """

    def __init__(self, *, node: AgentNode, load: LoadReader) -> None:
        self.node = node
        self.load = load
        self.peers = PeerLoadReports()
        self.sequence = 0
        self.changed = asyncio.Event()

    def handle(self, datagram: Datagram) -> None:
        """Store a peer's load report; ignore malformed ones and other services."""
        if datagram.service != self.node.service_number:
            return
        peer = self.find_peer(datagram.sender)
        if peer is None:
            return
        try:
            report = decode_load_report(datagram.payload)
        except ValueError:
            return
        self.peers.update(
            peer.id,
            incarnation=datagram.incarnation,
            report=report,
            now=self.node.now(),
        )

    def find_peer(self, agent: Endpoint) -> Upstream | None:
        """Return the peer whose agent has an inner address, None if it is unknown."""
        for peer in self.node.peers:
            if peer.agent == agent:
                return peer
        return None

    def own_load_report(self) -> LoadReport:
        """Return this agent's load report with the next sequence number."""
        self.sequence += 1
        return self.load.build_load_report(sequence=self.sequence)

    def receivers(self) -> tuple[Upstream, ...]:
        """Return the peers to report to: the next ones in the ring of ids.

        Every agent of a large service receives reports from the same number of peers.
        """
        own = self.node.settings.id
        peers = sorted(self.node.peers, key=lambda peer: (peer.id < own, peer.id))
        return tuple(peers[:LOAD_REPORT_PEERS])

    def send_round(self) -> None:
        """Send this agent's load report to its receivers."""
        number = self.node.service_number
        if number is None:
            return
        datagram = Datagram(
            kind=Kind.LOAD_REPORT,
            service=number,
            incarnation=self.node.incarnation,
            sender=self.node.inner,
            payload=encode_load_report(self.own_load_report()),
        )
        for peer in self.receivers():
            self.node.send(datagram, receiver=peer.agent)

    async def run(self) -> None:
        """Send load reports periodically, and at once when ``changed`` is set."""
        while True:
            self.send_round()
            self.changed.clear()
            try:
                async with asyncio.timeout(LOAD_REPORT_INTERVAL_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                continue
