"""Runs pages against fleets of real daemons and measures them."""

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
    Result,
    Summary,
    carried_worth,
    draw_arrivals,
    open_callers,
    run_load,
    single_queue_latencies,
    summarize,
    summarize_latencies,
)
from ._pages import FLOWS, HOSTS, SLOTS, Page

SERVICE = "order-desk"
LOOKUP = "lookup"
REVISIONS = itertools.count(2)
OPENING_AT_ONCE = 14
OPENING_TRIES = 20
SETTLE_SECONDS = 1.5


@frozen(kw_only=True)
class Measurement:
    """One page under one policy.

    :param lookup_p99_seconds: of lookups answered whole.
    :param ideal_p99_seconds: of lookups in one queue before all slots.
    :param carried_share: worth in time, as a share of what the slots could carry.
    :param extra_runs: runs beyond the first, as a share of requests.
    :param by_host: requests done by each host.
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


async def run_pages(
    pages: Sequence[Page],
    *,
    policy: str,
    fields: dict[str, Any],
    addresses: AddressPlan,
) -> list[Measurement]:
    """Run pages one after another on one fleet.

    :param fields: policies of the service record.
    """
    plan = next(entry for entry in KUISEB.services if entry.id == SERVICE)
    deployment = evolve(KUISEB, services=(evolve(plan, hosts=HOSTS, slots=SLOTS),))
    options = FleetOptions(policies={SERVICE: fields}, log_level="error")
    async with Fleet(deployment, addresses=addresses, options=options) as fleet:
        return [await run_page(page, policy=policy, fleet=fleet) for page in pages]


async def run_page(page: Page, *, policy: str, fleet: Fleet) -> Measurement:
    """Run one page; the fleet is healthy before and after it."""
    hosts = fleet.hosts_of(SERVICE)
    for host in hosts[: page.missing_hosts]:
        await fleet.drain_host(host)
    staying = hosts[page.missing_hosts :]
    pinned = [host.id for host in staying[: page.pinned_hosts]]
    if pinned:
        # Passing would keep connections away from hosts that hold so many.
        await publish_placement(fleet, {"type": "rendezvous", "pass_margin": None})
    callers = await open_patiently(fleet, hosts=pinned)
    if pinned:
        await publish_placement(fleet, {"type": "rendezvous"})
    address = fleet.addresses.upstream(hosts[0].index)
    try:
        if page.behaviour:
            await fleet.stand_ins.set_behaviour(address, **page.behaviour)
        result = await run_load(draw_arrivals(page.plan()), callers=callers)
    finally:
        if page.behaviour:
            await fleet.stand_ins.set_behaviour(address, **_healthy(page.behaviour))
        await asyncio.gather(*(caller.close() for caller in callers))
    await asyncio.sleep(SETTLE_SECONDS)
    runs = Counter(run.request_id for host in hosts for run in fleet.ledger(host))
    return measure(page, policy=policy, result=result, runs=runs, hosts=staying)


def _healthy(behaviour: dict[str, Any]) -> dict[str, Any]:
    defaults = {
        "slowness": 1.0,
        "black_hole": False,
        "shed": False,
        "load": "true",
        "health": "true",
    }
    return {name: defaults[name] for name in behaviour}


async def publish_placement(fleet: Fleet, placement: dict[str, Any]) -> None:
    """Publish the service with another placement and wait until it is in force."""
    plan = fleet.deployment.services[0]
    policies = fleet.factory.options.policies
    policies[SERVICE] = {**policies[SERVICE], "placement": placement}
    await fleet.publish_service(
        plan, address=fleet.services[SERVICE], revision=next(REVISIONS)
    )
    await asyncio.sleep(SETTLE_SECONDS)


async def open_patiently(fleet: Fleet, *, hosts: list[str]) -> list[Caller]:
    """Open every connection, trying again where a handshake fails.

    Round robin deals the packets of one handshake out to several hosts.
    """

    async def open_one() -> Caller:
        for _ in range(OPENING_TRIES):
            try:
                target = fleet.target(SERVICE)
                return (await open_callers(target, count=1, hosts=hosts))[0]
            except (ConnectionError, TimeoutError):
                continue
        raise ConnectionError(
            f"no handshake in {OPENING_TRIES} tries; see the logs of the fleet"
        )

    callers = []
    for start in range(0, FLOWS, OPENING_AT_ONCE):
        batch = range(start, min(FLOWS, start + OPENING_AT_ONCE))
        callers += await asyncio.gather(*(open_one() for _ in batch))
    return callers


def measure(
    page: Page, *, policy: str, result: Result, runs: Counter[str], hosts: list[Any]
) -> Measurement:
    """Compute every measure of one page from the same samples."""
    kept = [
        sample
        for sample in result.samples
        if sample.arrival.at_seconds >= page.measured_from
    ]
    counted = Result(started=result.started, samples=kept, lost=result.lost)
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
    seconds = page.plan().seconds - page.measured_from
    possible = carried_worth(
        [sample.arrival for sample in kept],
        slots=sum(slots.values()),
        seconds=seconds,
    )
    first_tries = {sample.request_id for sample in result.samples}
    extra = sum(count - 1 for id, count in runs.items() if id in first_tries)
    return Measurement(
        page=page.id,
        policy=policy,
        seed=page.plan().seed,
        summary=summarize(counted, slots=slots),
        lookup_p99_seconds=summarize_latencies(
            sample.latency_seconds for sample in lookups if sample.answered_whole
        ).p99,
        ideal_p99_seconds=summarize_latencies(
            latency
            for arrival, latency in ideal
            if arrival.kind.name == LOOKUP and arrival.at_seconds >= page.measured_from
        ).p99,
        carried_share=done / possible,
        extra_runs=extra / max(len(first_tries), 1),
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
