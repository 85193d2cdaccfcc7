"""Selection of the peer that runs a request, by recent load reports."""

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


class PeerSelector:
    """Chooses peers for requests that have not run."""

    def __init__(self, *, node: AgentNode, load_reports: LoadReportExchange) -> None:
        self.node = node
        self.load_reports = load_reports
        self.sent = SentRequests()
        # Each process has its own seed, so that agents don't all pick the same peer.
        self.random = random.Random()

    def fresh(self) -> tuple[PeerLoadReport, ...]:
        """Return the load reports of published peers that are recent enough."""
        published = {peer.id for peer in self.node.peers}
        entries = self.load_reports.peers.fresh(now=self.node.now())
        return tuple(entry for entry in entries if entry.peer in published)

    def choose(self, own: LoadReport) -> HandToPeer | None:
        """Return the peer that the next request should go to, None to keep it."""
        decision = choose_peer(
            hand_off=self.node.service.hand_off,
            own=own,
            peers=self.sent.loads(self.fresh()),
            rng=self.random,
        )
        return decision if isinstance(decision, HandToPeer) else None

    def choose_alternative(self, own: LoadReport) -> HandToPeer | None:
        """Return a peer for a request that this host can't run, None without one."""
        decision = choose_peer(
            hand_off=LoadHandOff(),
            own=evolve(own, ready=False),
            peers=self.sent.loads(self.fresh()),
            rng=self.random,
        )
        return decision if isinstance(decision, HandToPeer) else None

    def known_incarnation(self, peer: str) -> int | None:
        """Return the incarnation in the last load report of a peer."""
        entry = self.load_reports.peers.reports.get(peer)
        return None if entry is None else entry.incarnation

    @contextmanager
    def count_sent(self, peer: str) -> Iterator[None]:
        """Count a request as sent to a peer until its load reports include it."""
        request = self.sent.add(peer, now=self.node.now())
        try:
            yield
        finally:
            self.sent.end(request, now=self.node.now())
