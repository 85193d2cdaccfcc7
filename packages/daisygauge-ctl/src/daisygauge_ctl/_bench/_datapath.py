"""The datapath experiment: one balancer against a bare forwarder."""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path

from attrs import evolve

from ._bed import Bed
from ._experiment import Experiment, Options, Report, Target
from ._traffic import Part, SourcePlan, TrafficKind

PACKET_BYTES = 1_200
ROUNDS = 5
"""Both forwarders are measured in turn; ratios are taken within a round."""
FLOW_COUNTS = (1_000, 10_000, 100_000)
HALF_LOAD = 0.5
NEW_FLOWS_PER_SECOND = 2_000.0
"""Each balancer of today's deployments sees thousands of new flows a second."""

LEAST_RATE_RATIO = 0.5
MOST_ADDED_DELAY_MS = 1.0
MOST_GROWTH = 1.1
LEAST_PLACED_SHARE = 0.99
MILLISECONDS = 1_000


async def measure_rates(bed: Bed, plan: SourcePlan, reply: SourcePlan) -> list[Part]:
    """Measure the forwarder and both directions of the balancer at full load."""
    parts = []
    for _ in range(ROUNDS):
        parts.append(await bed.measure("bare", plan))
        parts.append(await bed.measure("balancer", plan))
        parts.append(await bed.measure("replies", reply))
    return parts


def median_ratio(parts: list[Part], name: str) -> float:
    """Return the median over the rounds of a rate by the bare forwarder's."""
    bare = [part.sink.rate for part in parts if part.name == "bare"]
    other = [part.sink.rate for part in parts if part.name == name]
    return statistics.median(
        rate / reference for rate, reference in zip(other, bare, strict=True)
    )


async def measure_delays(bed: Bed, plan: SourcePlan) -> list[Part]:
    """Measure the delay through nothing, the forwarder and the balancer."""
    parts = []
    for _ in range(ROUNDS):
        for name in ("direct", "bare", "balancer"):
            parts.append(await bed.measure(name, plan, keep_delays=True))
    return parts


async def measure_flows(bed: Bed, plan: SourcePlan) -> list[Part]:
    """Measure the balancer with growing numbers of flows."""
    return [
        await bed.measure(
            "balancer", evolve(plan, flows=flows), labels={"flows": str(flows)}
        )
        for flows in FLOW_COUNTS
    ]


def median(parts: list[Part], name: str, read: str) -> float:
    """Return the median of one figure over the rounds of one forwarder."""
    return statistics.median(
        getattr(part.sink, read) for part in parts if part.name == name
    )


def growth(figures: list[float]) -> float:
    """Return the largest figure as a multiple of the first one."""
    return max(figures) / figures[0]


async def run_datapath(options: Options) -> Report:
    """Measure rate, delay, and cost by flows of one balancer."""
    with tempfile.TemporaryDirectory() as directory:
        async with Bed(options=options, directory=Path(directory)) as bed:
            full = bed.plan(TrafficKind.ESTABLISHED, packet_bytes=PACKET_BYTES)
            reply = bed.plan(TrafficKind.REPLY, packet_bytes=PACKET_BYTES)
            rates = await measure_rates(bed, full, reply)
            rate = median(rates, "balancer", "rate")
            delays = await measure_delays(bed, evolve(full, rate=rate * HALF_LOAD))
            flows = await measure_flows(bed, evolve(full, rate=rate * HALF_LOAD))
            flight = evolve(
                bed.plan(TrafficKind.FIRST_FLIGHT, packet_bytes=PACKET_BYTES),
                rate=NEW_FLOWS_PER_SECOND,
            )
            placements = await bed.measure("placements", flight, answers=True)
    return Report(
        experiment="datapath",
        options=options,
        targets=(
            Target(
                name="packets a second, balancer over bare forwarder",
                measured=median_ratio(rates, "balancer"),
                comparison=">=",
                target=LEAST_RATE_RATIO,
            ),
            Target(
                name="replies a second, balancer over bare forwarder",
                measured=median_ratio(rates, "replies"),
                comparison=">=",
                target=LEAST_RATE_RATIO,
            ),
            Target(
                name="p99 delay added at half load",
                measured=MILLISECONDS
                * (median(delays, "balancer", "p99") - median(delays, "direct", "p99")),
                comparison="<=",
                target=MOST_ADDED_DELAY_MS,
                unit=" ms",
            ),
            Target(
                name="processor time a packet, 10^5 flows over 10^3",
                measured=growth([part.processor_us for part in flows]),
                comparison="<=",
                target=MOST_GROWTH,
            ),
            Target(
                name="memory, 10^5 flows over 10^3",
                measured=growth([float(part.resident_bytes) for part in flows]),
                comparison="<=",
                target=MOST_GROWTH,
            ),
            Target(
                name="first flights that reach an agent, at 2,000 a second",
                measured=placements.sink.received / placements.source.sent,
                comparison=">=",
                target=LEAST_PLACED_SHARE,
            ),
        ),
        figures={
            "rates": rates,
            "delays": delays,
            "flows": flows,
            "placements": placements,
        },
    )


DATAPATH = Experiment(
    name="datapath",
    summary="packets a second, delay, and cost by number of flows of one balancer",
    run=run_datapath,
)
