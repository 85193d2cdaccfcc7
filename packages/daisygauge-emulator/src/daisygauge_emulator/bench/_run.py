"""Runs scenarios against fleets of real daemons and measures them."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Sequence
from typing import Any

from attrs import evolve, frozen

from ..caller import Answered, Caller
from ..fleet import KUISEB, AddressPlan, Fleet, FleetOptions
from ..load import (
    LoadResult,
    Summary,
    draw_arrivals,
    max_worth,
    open_callers,
    run_load,
    single_queue_latencies,
    summarize,
    summarize_latencies,
)
from ._scenarios import FLOWS, HOSTS, SLOTS, Scenario

SERVICE = "order-desk"
LOOKUP = "lookup"
REVISIONS = itertools.count(2)
MAX_CONCURRENT_HANDSHAKES = 14
MAX_HANDSHAKE_ATTEMPTS = 20
SETTLE_SECONDS = 1.5


@frozen(kw_only=True)
class Measurement:
    """Measures of one scenario under one policy.

    :param page: id of the scenario; the results use this name.
    :param lookup_p99_seconds: 99th percentile of correctly answered lookups.
    :param ideal_p99_seconds: 99th percentile of lookups with a single queue for all
        slots.
    :param carried_share: worth answered in time as a share of ``max_worth()``.
    :param extra_runs: second and later runs as a share of requests.
    :param by_host: number of requests that each host answered.
    :param not_run_reasons: number of requests without an answer by their reason.
    """

    page: str
    policy: str
    seed: int
    summary: Summary
    lookup_p99_seconds: float
    ideal_p99_seconds: float
    carried_share: float
    extra_runs: float
    by_host: dict[str, int]
    not_run_reasons: dict[str, int]


async def run_scenarios(
    scenarios: Sequence[Scenario],
    *,
    policy: str,
    fields: dict[str, Any],
    addresses: AddressPlan,
) -> list[Measurement]:
    """Run scenarios sequentially on one fleet.

    :param policy: name of the policy.
    :param fields: fields of the service record that select the policy.
    """
    plan = next(entry for entry in KUISEB.services if entry.id == SERVICE)
    deployment = evolve(KUISEB, services=(evolve(plan, hosts=HOSTS, slots=SLOTS),))
    options = FleetOptions(policies={SERVICE: fields}, log_level="error")
    async with Fleet(deployment, addresses=addresses, options=options) as fleet:
        return [
            await run_scenario(scenario, policy=policy, fleet=fleet)
            for scenario in scenarios
        ]


async def run_scenario(scenario: Scenario, *, policy: str, fleet: Fleet) -> Measurement:
    """Run one scenario and reset the faults that it injects.

    Hosts that the scenario stops stay down.
    """
    hosts = fleet.hosts_of(SERVICE)
    for host in hosts[: scenario.missing_hosts]:
        await fleet.drain_host(host)
    remaining = hosts[scenario.missing_hosts :]
    pinned = [host.id for host in remaining[: scenario.pinned_hosts]]
    if pinned:
        # Otherwise hosts with many connections pass new ones on to other hosts.
        await publish_placement(fleet, {"type": "rendezvous", "pass_margin": None})
    callers = await open_with_retries(fleet, hosts=pinned)
    if pinned:
        await publish_placement(fleet, {"type": "rendezvous"})
    address = fleet.addresses.upstream(hosts[0].index)
    try:
        if scenario.behaviour:
            await fleet.stand_ins.set_behaviour(address, **scenario.behaviour)
        result = await run_load(draw_arrivals(scenario.plan()), callers=callers)
    finally:
        if scenario.behaviour:
            await fleet.stand_ins.set_behaviour(
                address, **_select_defaults(scenario.behaviour)
            )
        await asyncio.gather(*(caller.close() for caller in callers))
    await asyncio.sleep(SETTLE_SECONDS)
    runs = Counter(run.request_id for host in hosts for run in fleet.ledger(host))
    return measure(scenario, policy=policy, result=result, runs=runs, hosts=remaining)


def _select_defaults(behaviour: dict[str, Any]) -> dict[str, Any]:
    defaults = {
        "slowness": 1.0,
        "black_hole": False,
        "shed": False,
        "load": "true",
        "health": "true",
    }
    return {name: defaults[name] for name in behaviour}


async def publish_placement(fleet: Fleet, placement: dict[str, Any]) -> None:
    """Publish the service with another placement and wait until it is applied."""
    plan = fleet.deployment.services[0]
    policies = fleet.factory.options.policies
    policies[SERVICE] = {**policies[SERVICE], "placement": placement}
    await fleet.publish_service(
        plan, address=fleet.services[SERVICE], revision=next(REVISIONS)
    )
    await asyncio.sleep(SETTLE_SECONDS)


async def open_with_retries(fleet: Fleet, *, hosts: list[str]) -> list[Caller]:
    """Open every connection and retry failed handshakes.

    Handshakes fail with round robin, which distributes the packets of one handshake
    over several hosts.

    :raises ConnectionError: every attempt to open a connection failed.
    """

    async def open_one() -> Caller:
        for _ in range(MAX_HANDSHAKE_ATTEMPTS):
            try:
                target = fleet.target(SERVICE)
                return (await open_callers(target, count=1, hosts=hosts))[0]
            except (ConnectionError, TimeoutError):
                continue
        raise ConnectionError(
            f"no handshake in {MAX_HANDSHAKE_ATTEMPTS} attempts; see the fleet's logs"
        )

    callers = []
    for start in range(0, FLOWS, MAX_CONCURRENT_HANDSHAKES):
        batch = range(start, min(FLOWS, start + MAX_CONCURRENT_HANDSHAKES))
        callers += await asyncio.gather(*(open_one() for _ in batch))
    return callers


def measure(
    scenario: Scenario,
    *,
    policy: str,
    result: LoadResult,
    runs: Counter[str],
    hosts: list[Any],
) -> Measurement:
    """Compute all measures of one scenario from the same samples.

    :param runs: number of runs by the request's id.
    :param hosts: hosts that should share the load.
    """
    kept = [
        sample
        for sample in result.samples
        if sample.arrival.at_seconds >= scenario.measured_from
    ]
    counted = LoadResult(started=result.started, samples=kept, lost=result.lost)
    arrivals = sorted(
        (sample.arrival for sample in result.samples),
        key=lambda arrival: arrival.at_seconds,
    )
    slots = {host.id: SLOTS for host in hosts}
    ideal = zip(
        arrivals,
        single_queue_latencies(arrivals, slots=sum(slots.values())),
        strict=True,
    )
    lookups = [sample for sample in kept if sample.arrival.kind.name == LOOKUP]
    done = sum(sample.arrival.kind.worth for sample in kept if sample.in_time)
    seconds = scenario.plan().seconds - scenario.measured_from
    possible = max_worth(
        [sample.arrival for sample in kept],
        slots=sum(slots.values()),
        seconds=seconds,
    )
    request_ids = {sample.request_id for sample in result.samples}
    extra = sum(count - 1 for id, count in runs.items() if id in request_ids)
    return Measurement(
        page=scenario.id,
        policy=policy,
        seed=scenario.plan().seed,
        summary=summarize(counted, slots=slots),
        lookup_p99_seconds=summarize_latencies(
            sample.latency_seconds for sample in lookups if sample.answered_whole
        ).p99,
        ideal_p99_seconds=summarize_latencies(
            latency
            for arrival, latency in ideal
            if arrival.kind.name == LOOKUP
            and arrival.at_seconds >= scenario.measured_from
        ).p99,
        carried_share=done / possible,
        extra_runs=extra / max(len(request_ids), 1),
        by_host=dict(
            Counter(sample.upstream for sample in kept if sample.answered_whole)
        ),
        not_run_reasons=dict(
            Counter(
                f"{type(sample.outcome).__name__}: "
                f"{getattr(sample.outcome, 'reason', '')}"
                for sample in kept
                if not isinstance(sample.outcome, Answered)
            )
        ),
    )
