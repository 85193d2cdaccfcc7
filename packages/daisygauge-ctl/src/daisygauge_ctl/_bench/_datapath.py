"""The datapath experiment: one balancer against a bare forwarder."""

from __future__ import annotations

import statistics
import tempfile
from pathlib import Path

from attrs import evolve

from ._experiment import Experiment, Options, Report, Target
from ._testbed import Testbed
from ._traffic import Part, SourcePlan, TrafficKind

PACKET_BYTES = 1_200
ROUND_COUNT = 5
"""Each round measures both forwarders in turn; ratios are taken within a round."""
FLOW_COUNTS = (1_000, 10_000, 100_000)
HALF_LOAD_RATIO = 0.5
NEW_FLOWS_PER_SECOND = 2_000.0
"""Each balancer of today's deployments sees thousands of new flows a second."""

MIN_RATE_RATIO = 0.5
MAX_ADDED_DELAY_MS = 1.0
MAX_GROWTH_RATIO = 1.1
MIN_PLACED_SHARE = 0.99
MILLISECONDS_PER_SECOND = 1_000


async def measure_rates(
    testbed: Testbed, plan: SourcePlan, reply: SourcePlan
) -> list[Part]:
    """Measure the bare forwarder and both directions of the balancer at full load."""
    parts = []
    for _ in range(ROUND_COUNT):
        parts.append(await testbed.measure("bare", plan))
        parts.append(await testbed.measure("balancer", plan))
        parts.append(await testbed.measure("replies", reply))
    return parts


def median_ratio(parts: list[Part], name: str) -> float:
    """Return the median, over the rounds, of a rate divided by the bare forwarder's."""
    bare = [part.sink.rate for part in parts if part.name == "bare"]
    other = [part.sink.rate for part in parts if part.name == name]
    return statistics.median(
        rate / reference for rate, reference in zip(other, bare, strict=True)
    )


async def measure_delays(testbed: Testbed, plan: SourcePlan) -> list[Part]:
    """Measure delays without a forwarder, with the bare one and with the balancer."""
    parts = []
    for _ in range(ROUND_COUNT):
        for name in ("direct", "bare", "balancer"):
            parts.append(await testbed.measure(name, plan, keep_delays=True))
    return parts


async def measure_flows(testbed: Testbed, plan: SourcePlan) -> list[Part]:
    """Measure the balancer with each number of flows in ``FLOW_COUNTS``."""
    return [
        await testbed.measure(
            "balancer", evolve(plan, flows=flows), labels={"flows": str(flows)}
        )
        for flows in FLOW_COUNTS
    ]


def median(parts: list[Part], name: str, figure: str) -> float:
    """Return the median of a figure of the sink over the parts of one name.

    :param name: name of the parts.
    :param figure: attribute of ``SinkResult``.
    """
    return statistics.median(
        getattr(part.sink, figure) for part in parts if part.name == name
    )


def growth(figures: list[float]) -> float:
    """Return the ratio of the largest figure to the first one."""
    return max(figures) / figures[0]


async def run_datapath(options: Options) -> Report:
    """Measure the rate and delay of one balancer and its cost by number of flows."""
    with tempfile.TemporaryDirectory() as directory:
        async with Testbed(options=options, directory=Path(directory)) as testbed:
            full = testbed.make_plan(TrafficKind.ESTABLISHED, packet_bytes=PACKET_BYTES)
            reply = testbed.make_plan(TrafficKind.REPLY, packet_bytes=PACKET_BYTES)
            rates = await measure_rates(testbed, full, reply)
            rate = median(rates, "balancer", "rate")
            delays = await measure_delays(
                testbed, evolve(full, rate=rate * HALF_LOAD_RATIO)
            )
            flows = await measure_flows(
                testbed, evolve(full, rate=rate * HALF_LOAD_RATIO)
            )
            flight = evolve(
                testbed.make_plan(TrafficKind.FIRST_FLIGHT, packet_bytes=PACKET_BYTES),
                rate=NEW_FLOWS_PER_SECOND,
            )
            placements = await testbed.measure("placements", flight, answers=True)
    return Report(
        experiment="datapath",
        options=options,
        targets=(
            Target(
                name="packets a second, balancer over bare forwarder",
                measured=median_ratio(rates, "balancer"),
                comparison=">=",
                target=MIN_RATE_RATIO,
            ),
            Target(
                name="replies a second, balancer over bare forwarder",
                measured=median_ratio(rates, "replies"),
                comparison=">=",
                target=MIN_RATE_RATIO,
            ),
            Target(
                name="p99 delay added at half load",
                measured=MILLISECONDS_PER_SECOND
                * (median(delays, "balancer", "p99") - median(delays, "direct", "p99")),
                comparison="<=",
                target=MAX_ADDED_DELAY_MS,
                unit=" ms",
            ),
            Target(
                name="processor time a packet, 10^5 flows over 10^3",
                measured=growth([part.processor_us for part in flows]),
                comparison="<=",
                target=MAX_GROWTH_RATIO,
            ),
            Target(
                name="memory, 10^5 flows over 10^3",
                measured=growth([float(part.resident_bytes) for part in flows]),
                comparison="<=",
                target=MAX_GROWTH_RATIO,
            ),
            Target(
                name="first flights that reach an agent, at 2,000 a second",
                measured=placements.sink.received / placements.source.sent,
                comparison=">=",
                target=MIN_PLACED_SHARE,
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
