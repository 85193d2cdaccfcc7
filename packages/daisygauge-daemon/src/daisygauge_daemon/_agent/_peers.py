"""Which peer could run a request instead, by the load reports heard lately."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import evolve

from daisygauge_policy import HandToPeer, PeerLoadReport, SentRequests, choose_peer
from daisygauge_records import LoadHandOff
from daisygauge_wire import LoadReport

from ._load_reports import LoadReportExchange
from ._node import AgentNode


class Peers:
    """Chooses peers for requests that have not run."""

    def __init__(self, *, node: AgentNode, load_reports: LoadReportExchange) -> None:
        self.node = node
        self.load_reports = load_reports
        self.sent = SentRequests()
        # The seed is free to differ: agents must not all draw the same peer.
        self.random = random.Random()

    def fresh(self) -> tuple[PeerLoadReport, ...]:
        """Return the load reports young enough to decide by."""
        published = {peer.id for peer in self.node.peers}
        heard = self.load_reports.peers.fresh(now=self.node.now())
        return tuple(held for held in heard if held.peer in published)

    def choose(self, own: LoadReport) -> HandToPeer | None:
        """Return the peer that one more request should go to, if any."""
        decision = choose_peer(
            hand_off=self.node.service.hand_off,
            own=own,
            peers=self.sent.loads(self.fresh()),
            rng=self.random,
        )
        return decision if isinstance(decision, HandToPeer) else None

    def choose_other(self, own: LoadReport) -> HandToPeer | None:
        """Return a peer for a request that this host can't run."""
        decision = choose_peer(
            hand_off=LoadHandOff(),
            own=evolve(own, ready=False),
            peers=self.sent.loads(self.fresh()),
            rng=self.random,
        )
        return decision if isinstance(decision, HandToPeer) else None

    def incarnation(self, peer: str) -> int | None:
        """Return the life of a peer that its load report named."""
        held = self.load_reports.peers.reports.get(peer)
        return None if held is None else held.incarnation

    @contextmanager
    def count_sent(self, peer: str) -> Iterator[None]:
        """Count a request at a peer while its load reports can't show it."""
        request = self.sent.add(peer, now=self.node.now())
        try:
            yield
        finally:
            self.sent.end(request, now=self.node.now())
