"""Counts of a balancer, cheap enough to update for each packet."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Iterator

from attrs import define, field
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from .._metrics import NAMESPACE


@define(kw_only=True)
class PacketCounts:
    """Packets of one service.

    :param forwarded: packets of established flows sent to agents.
    :param placed: packets of first flights sent to agents.
    :param replied: packets sent to callers.
    """

    forwarded: int = 0
    placed: int = 0
    replied: int = 0


@define(kw_only=True)
class BalancerCounts:
    """All counts of a balancer.

    :param packets: counts by service id.
    :param drops: dropped packets and datagrams by reason.
    :param placements: placement decisions by outcome.
    :param pending: first flights that wait for an agent's answer.
    :param suspects: hosts that get no new flows because they did not answer.
    :param unbound: services whose address can't be bound here.
    """

    packets: dict[str, PacketCounts] = field(factory=dict)
    drops: Tally[str] = field(factory=Tally)
    placements: Tally[str] = field(factory=Tally)
    pending: int = 0
    suspects: int = 0
    unbound: int = 0

    def total_packets(self) -> int:
        """Return the number of packets passed on so far."""
        return sum(
            packets.forwarded + packets.placed + packets.replied
            for packets in self.packets.values()
        )

    def for_service(self, service: str) -> PacketCounts:
        """Return the counts of a service, starting at zero."""
        return self.packets.setdefault(service, PacketCounts())


class BalancerCollector(Collector):
    """Exports the counts to Prometheus."""

    def __init__(self, *, counts: BalancerCounts, registry: CollectorRegistry) -> None:
        self.counts = counts
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Yield every metric of the balancer."""
        yield self.collect_packets()
        yield self.collect_tally(
            "drops", "Packets and inner datagrams dropped.", self.counts.drops, "reason"
        )
        yield self.collect_tally(
            "placements",
            "Placement decisions for first flights.",
            self.counts.placements,
            "outcome",
        )
        yield GaugeMetricFamily(
            f"{NAMESPACE}_pending_first_flights",
            "First flights that wait for an agent's word.",
            value=self.counts.pending,
        )
        yield GaugeMetricFamily(
            f"{NAMESPACE}_unbound_services",
            "Services whose address can't be bound here.",
            value=self.counts.unbound,
        )
        yield GaugeMetricFamily(
            f"{NAMESPACE}_suspect_hosts",
            "Hosts that get no new flows because they were silent.",
            value=self.counts.suspects,
        )

    def collect_packets(self) -> Metric:
        """Return the packets passed on, by service and direction."""
        family = CounterMetricFamily(
            f"{NAMESPACE}_packets",
            "Packets passed on.",
            labels=("service", "path"),
        )
        for service, counts in self.counts.packets.items():
            family.add_metric((service, "forwarded"), counts.forwarded)
            family.add_metric((service, "placed"), counts.placed)
            family.add_metric((service, "replied"), counts.replied)
        return family

    @staticmethod
    def collect_tally(name: str, text: str, tally: Tally[str], label: str) -> Metric:
        """Return one counter with one label."""
        family = CounterMetricFamily(f"{NAMESPACE}_{name}", text, labels=(label,))
        for value, count in tally.items():
            family.add_metric((value,), count)
        return family
