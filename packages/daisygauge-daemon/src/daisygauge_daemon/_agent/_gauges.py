"""The agent's own gauge, and the gauges of its peers."""

from __future__ import annotations

import asyncio
from typing import Protocol

from daisygauge_policy import PeerGauges
from daisygauge_records import Endpoint, Upstream
from daisygauge_wire import Datagram, Gauge, Kind, decode_gauge, encode_gauge

from ._node import AgentNode

GAUGE_SECONDS = 0.2
GAUGE_PEERS = 8


class LoadReader(Protocol):
    """Where the agent's own load is known."""

    def read_gauge(self, *, sequence: int) -> Gauge:
        """Return the load now."""


class GaugeExchange:
    """Sends this agent's gauge to some peers and keeps theirs.

    :param load: reads this agent's own load.
    """

    def __init__(self, *, node: AgentNode, load: LoadReader) -> None:
        self.node = node
        self.load = load
        self.peers = PeerGauges()
        self.sequence = 0
        self.changed = asyncio.Event()

    def take(self, datagram: Datagram) -> None:
        """Keep a peer's gauge; other services and malformed ones are ignored."""
        if datagram.service != self.node.service_number:
            return
        peer = self.find_peer(datagram.sender)
        if peer is None:
            return
        try:
            gauge = decode_gauge(datagram.payload)
        except ValueError:
            return
        self.peers.update(
            peer.id,
            incarnation=datagram.incarnation,
            gauge=gauge,
            now=self.node.now(),
        )

    def find_peer(self, agent: Endpoint) -> Upstream | None:
        """Return the peer with an inner address."""
        for peer in self.node.peers:
            if peer.agent == agent:
                return peer
        return None

    def own_gauge(self) -> Gauge:
        """Return this agent's gauge, newer than every earlier one."""
        self.sequence += 1
        return self.load.read_gauge(sequence=self.sequence)

    def receivers(self) -> tuple[Upstream, ...]:
        """Return the peers that follow this agent in the ring of ids.

        Every agent of a large service hears from the same number of peers.
        """
        own = self.node.settings.id
        peers = sorted(self.node.peers, key=lambda peer: (peer.id < own, peer.id))
        return tuple(peers[:GAUGE_PEERS])

    def send_round(self) -> None:
        """Send the own gauge to some peers."""
        number = self.node.service_number
        if number is None:
            return
        datagram = Datagram(
            kind=Kind.GAUGE,
            service=number,
            incarnation=self.node.incarnation,
            sender=self.node.inner,
            payload=encode_gauge(self.own_gauge()),
        )
        for peer in self.receivers():
            self.node.send(datagram, receiver=peer.agent)

    async def run(self) -> None:
        """Send the own gauge often, and at once when it changed much."""
        while True:
            self.send_round()
            self.changed.clear()
            try:
                async with asyncio.timeout(GAUGE_SECONDS):
                    await self.changed.wait()
            except TimeoutError:
                continue
