"""Which agents are offered a new flow.

Placement doesn't hash the hosts of a service for each packet: `CandidateTable` maps a
flow to one of ``BUCKETS`` buckets and ranks the hosts of a bucket once.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence

from xxhash import xxh3_64_intdigest

from daisygauge_records import (
    Endpoint,
    Instance,
    Placement,
    PublishedLoadPlacement,
    RendezvousPlacement,
    RoundRobinPlacement,
    Upstream,
)
from daisygauge_wire import MAX_CANDIDATES

from ._rendezvous import rendezvous_score

BUCKETS = 16_384
UNKNOWN_LOAD = 0.0


def make_flow_key(*, caller: Endpoint, destination_id: bytes) -> bytes:
    """Return the key of a flow, equal for all packets of a split first flight.

    :param destination_id: the connection ID that the caller chose.
    """
    return f"{caller}|".encode() + destination_id


def select_eligible(
    upstreams: Sequence[Upstream],
    *,
    instances: Mapping[str, Instance],
    suspects: frozenset[str] = frozenset(),
) -> tuple[Upstream, ...]:
    """Return the hosts that may get new flows.

    A host that isn't on the instance list stays eligible, because the list may be
    older than the host.

    :param instances: the instance list by id.
    :param suspects: ids of hosts that do not answer.
    """
    return tuple(
        upstream
        for upstream in upstreams
        if upstream.id not in suspects
        and not (upstream.id in instances and instances[upstream.id].leaving)
    )


class CandidateTable:
    """Weighted rendezvous over the eligible hosts of one service.

    Equal inputs give equal answers in every process. A change of one host's
    weight moves only flows to or from that host.

    :param upstreams: eligible hosts.
    :param shares: slow start share by host id, 1.0 when absent; the weight is
        slots times share, and a host of weight zero gets no flows.
    """

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        *,
        shares: Mapping[str, float] | None = None,
    ) -> None:
        shares = shares or {}
        weighted = (
            (upstream, upstream.slots * shares.get(upstream.id, 1.0))
            for upstream in sorted(upstreams, key=lambda upstream: upstream.id)
        )
        self.members = tuple(
            (upstream.id.encode(), weight, upstream)
            for upstream, weight in weighted
            if weight > 0.0
        )
        self._buckets: dict[int, tuple[Upstream, ...]] = {}
        self._orders: dict[tuple[str, ...], tuple[Upstream, ...]] = {}

    def choose(self, flow_key: bytes, *, count: int) -> tuple[Upstream, ...]:
        """Return the hosts offered a flow, the preferred one first.

        :param count: at most ``MAX_CANDIDATES``.
        """
        bucket = xxh3_64_intdigest(flow_key) % BUCKETS
        order = self._buckets.get(bucket)
        if order is None:
            order = self._buckets[bucket] = self._rank(bucket)
        return order[:count]

    def _rank(self, bucket: int) -> tuple[Upstream, ...]:
        scored = heapq.nlargest(
            MAX_CANDIDATES,
            (
                (rendezvous_score(name, seed=bucket, weight=weight), name, upstream)
                for name, weight, upstream in self.members
            ),
            key=lambda entry: entry[:2],
        )
        order = tuple(upstream for _, _, upstream in scored)
        # Buckets share equal orders, so a small service needs little memory.
        return self._orders.setdefault(tuple(host.id for host in order), order)


class RoundRobinTable:
    """Offers new flows to the hosts in turn; a baseline for experiments."""

    def __init__(self, upstreams: Sequence[Upstream]) -> None:
        self.upstreams = tuple(sorted(upstreams, key=lambda upstream: upstream.id))
        self._turn = 0

    def choose(self, flow_key: bytes, *, count: int) -> tuple[Upstream, ...]:
        """Return the host whose turn it is, followed by its successors."""
        if not self.upstreams:
            return ()
        start = self._turn % len(self.upstreams)
        self._turn += 1
        return (self.upstreams[start:] + self.upstreams[:start])[:count]


class PublishedLoadTable:
    """Offers the less loaded of two hashed hosts first; a baseline for experiments.

    :param loads: published requests per slot, by host id; the caller may change the
        mapping later.
    """

    def __init__(
        self, upstreams: Sequence[Upstream], *, loads: Mapping[str, float]
    ) -> None:
        self.table = CandidateTable(upstreams)
        self.loads = loads

    def choose(self, flow_key: bytes, *, count: int) -> tuple[Upstream, ...]:
        """Return two hashed hosts by published load, followed by the rest."""
        order = self.table.choose(flow_key, count=max(count, 2))
        pair = sorted(order[:2], key=lambda host: self.loads.get(host.id, UNKNOWN_LOAD))
        return (*pair, *order[2:])[:count]


PlacementTable = CandidateTable | RoundRobinTable | PublishedLoadTable


def create_placement_table(
    placement: Placement,
    *,
    upstreams: Sequence[Upstream],
    shares: Mapping[str, float],
    loads: Mapping[str, float],
) -> PlacementTable:
    """Build the table of a service's placement.

    :param upstreams: eligible hosts.
    :param shares: slow start share by host id.
    :param loads: published load by host id.
    """
    match placement:
        case RendezvousPlacement():
            return CandidateTable(upstreams, shares=shares)
        case RoundRobinPlacement():
            return RoundRobinTable(upstreams)
        case PublishedLoadPlacement():
            return PublishedLoadTable(upstreams, loads=loads)
