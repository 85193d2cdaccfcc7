"""Measures the slopes of control and sets them against the aim.

Prints a table and writes every sample to a JSON file. Exit code 1 when a target
that holds at every size is missed.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
from pathlib import Path

import attrs
from absl import app, flags
from fleet import Fleet, Sample, now
from store import StoreCost, measure_store

DAEMONS_AT_AIM = 7_600
BALANCERS_AT_AIM = 1_100
UPSTREAMS_AT_AIM = 6_500
DOMAINS_AT_AIM = 17
CHANGES_PER_DAY = 920
LIST_CHANGES_PER_DAY = 550 * 3
"""Each replaced instance leaves, goes and comes."""
SECONDS_PER_DAY = 86_400
FLEET_SECONDS = 3.0
SEATS_KILLED_SECONDS = 15.0
PROBES = 8
PROBE_PAUSE_SECONDS = 0.5
STEADY_SECONDS = 12.0
DOMAINS = 2
SECRET = "5a" * 32
STORE_SIZES = (500, 2_000, 6_500)

flags.DEFINE_list("sizes", ["24", "48", "96"], "Daemons in each run.")
flags.DEFINE_string("output", "bench/results/capacity.json", "File for the results.")
flags.DEFINE_string("block", "127.20", "First two bytes of the addresses used.")


@attrs.frozen(kw_only=True)
class Usage:
    """What one kind of daemon uses, the median of its members.

    :param change_seconds: processor time for one change.
    :param change_bytes: bytes sent for one change.
    """

    daemons: int
    followers: float
    sent_bytes_per_second: float
    received_bytes_per_second: float
    processor_share: float
    resident_bytes: float
    change_seconds: float
    change_bytes: float


@attrs.frozen(kw_only=True)
class Run:
    """What one size of fleet gave.

    :param in_force_seconds: time until each change was in force everywhere.
    :param seats_killed_seconds: the same with every seat killed at that moment.
    """

    size: int
    seats: int
    start_seconds: float
    in_force_seconds: tuple[float, ...]
    seats_killed_seconds: float
    reads_per_second: float
    usage: dict[str, Usage]


async def publish_probe(fleet: Fleet, number: int) -> float:
    """Change the probe record and return the time of the change."""
    spec = {"number": number, "address": {"host": "10.0.0.1", "port": 443}}
    at = now()
    await fleet.platform.publish("service", "probe", spec, revision=number)
    return at


async def measure_probes(fleet: Fleet, first: int) -> tuple[float, ...]:
    """Publish several changes and return how long each took."""
    seconds = []
    for number in range(first, first + PROBES):
        since = await publish_probe(fleet, number)
        seconds.append(await fleet.wait_for_probe(number, since=since))
        await asyncio.sleep(PROBE_PAUSE_SECONDS)
    return tuple(seconds)


def role_of(process_role: str, sample: Sample) -> str:
    """Return the role of a participant: seat, balancer or agent."""
    return "seat" if sample.seat else process_role


def describe_usage(
    roles: dict[str, str],
    steady: tuple[dict[str, Sample], dict[str, Sample]],
    changing: tuple[dict[str, Sample], dict[str, Sample]],
) -> dict[str, Usage]:
    """Return what each kind of daemon used while steady and while changing."""
    kinds: dict[str, list[str]] = {}
    for id, sample in steady[1].items():
        kinds.setdefault(role_of(roles[id], sample), []).append(id)

    def rate(id: str, name: str) -> float:
        first, last = steady[0][id], steady[1][id]
        return (getattr(last, name) - getattr(first, name)) / (last.at - first.at)

    def per_change(id: str, name: str) -> float:
        first, last = changing[0][id], changing[1][id]
        idle = rate(id, name) * (last.at - first.at)
        return (getattr(last, name) - getattr(first, name) - idle) / PROBES

    return {
        kind: Usage(
            daemons=len(ids),
            followers=statistics.median(steady[1][id].followers for id in ids),
            sent_bytes_per_second=statistics.median(rate(i, "sent_bytes") for i in ids),
            received_bytes_per_second=statistics.median(
                rate(i, "received_bytes") for i in ids
            ),
            processor_share=statistics.median(
                rate(i, "processor_seconds") for i in ids
            ),
            resident_bytes=statistics.median(steady[1][i].resident_bytes for i in ids),
            change_seconds=statistics.median(
                per_change(i, "processor_seconds") for i in ids
            ),
            change_bytes=statistics.median(per_change(i, "sent_bytes") for i in ids),
        )
        for kind, ids in kinds.items()
    }


async def measure_size(size: int) -> Run:
    """Run one fleet."""
    fleet = Fleet(size=size, domains=DOMAINS, block=flags.FLAGS.block)
    roles = {process.id: process.role for process in fleet.processes}
    await fleet.platform.start()
    try:
        await fleet.platform.publish("key", "key-1", {"number": 1, "secret": SECRET})
        await publish_probe(fleet, 1)
        began = now()
        await fleet.start()
        start_seconds = now() - began
        await asyncio.sleep(1.0)
        before = await fleet.sample()
        in_force = await measure_probes(fleet, 2)
        after = await fleet.sample()
        reads = await fleet.platform.reads()
        steady_from = await fleet.sample()
        await asyncio.sleep(STEADY_SECONDS)
        steady = (steady_from, await fleet.sample())
        reads = await fleet.platform.reads() - reads
        seats = {id for id, sample in steady[1].items() if sample.seat}
        since = await publish_probe(fleet, PROBES + 2)
        await fleet.kill(seats)
        killed = await fleet.wait_for_probe(PROBES + 2, since=since)
        return Run(
            size=size,
            seats=len(seats),
            start_seconds=start_seconds,
            in_force_seconds=in_force,
            seats_killed_seconds=killed,
            reads_per_second=reads / STEADY_SECONDS,
            usage=describe_usage(roles, steady, (before, after)),
        )
    finally:
        await fleet.stop()


def print_run(run: Run) -> None:
    """Print one size of fleet."""
    print(
        f"{run.size:4} daemons, {run.seats} seats: in force everywhere "
        f"{max(run.in_force_seconds):.2f} s at most (target {FLEET_SECONDS:.0f}), "
        f"{run.seats_killed_seconds:.2f} s with all seats killed "
        f"(target {SEATS_KILLED_SECONDS:.0f}); {run.reads_per_second:.2f} reads/s",
        flush=True,
    )
    for kind, usage in sorted(run.usage.items()):
        print(
            f"     {kind:8} x{usage.daemons:3} followers {usage.followers:3.0f}  "
            f"sent {usage.sent_bytes_per_second:6.0f} B/s  "
            f"received {usage.received_bytes_per_second:5.0f} B/s  "
            f"core {usage.processor_share:6.2%}  "
            f"memory {usage.resident_bytes / 1e6:5.1f} MB  "
            f"change {usage.change_seconds * 1e3:5.1f} ms "
            f"{usage.change_bytes:6.0f} B",
            flush=True,
        )


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept by least squares."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


def project(runs: list[Run], stores: list[StoreCost]) -> list[tuple[str, str, str]]:
    """Return what the slopes give at the aim: quantity, target, value."""
    seats = [run.usage["seat"] for run in runs]
    per_domain = DAEMONS_AT_AIM / DOMAINS_AT_AIM
    followers = per_domain * 2 / 3
    slope, base = fit([(u.followers, u.sent_bytes_per_second) for u in seats])
    steady = base + slope * followers
    slope_change, base_change = fit([(u.followers, u.change_bytes) for u in seats])
    changes = (CHANGES_PER_DAY + LIST_CHANGES_PER_DAY) / SECONDS_PER_DAY
    change_bytes = max(0.0, base_change + slope_change * followers)
    share_slope, share_base = fit([(u.followers, u.processor_share) for u in seats])
    work_slope, work_base = fit([(u.followers, u.change_seconds) for u in seats])
    share = share_base + share_slope * followers
    share += (work_base + work_slope * followers + stores[-1].change_seconds) * changes
    memory_slope, _ = fit([(s.entries, s.resident_bytes) for s in stores])
    resident = statistics.median(u.resident_bytes for u in seats)
    memory = resident + memory_slope * UPSTREAMS_AT_AIM
    agents = [run.usage["agent"] for run in runs]
    agent_bytes = max(
        usage.sent_bytes_per_second + usage.received_bytes_per_second
        for usage in agents
    )
    reads = DOMAINS_AT_AIM * 3 * (2 / 30 + 2 * changes)
    return [
        ("followers of a seat", "", f"{followers:.0f}"),
        ("seat: bytes/s sent", "13000", f"{steady + change_bytes * changes:.0f}"),
        ("seat: share of a core", "2.8%", f"{share:.2%}"),
        ("balancer or seat: memory, MB", "128", f"{memory / 1e6:.0f}"),
        (
            "agent: bytes/s sent and received",
            "13000",
            f"{agent_bytes:.0f}",
        ),
        (
            "agent: share of a core",
            "2.8%",
            f"{max(a.processor_share for a in agents):.2%}",
        ),
        (
            "agent: memory, MB (control alone)",
            "128",
            f"{max(a.resident_bytes for a in agents) / 1e6:.0f}",
        ),
        ("platform reads/s, all daemons", "2000", f"{reads:.1f}"),
    ]


def is_met(run: Run) -> bool:
    """Tell whether a run met the targets that hold at every size."""
    return (
        max(run.in_force_seconds) <= FLEET_SECONDS
        and run.seats_killed_seconds <= SEATS_KILLED_SECONDS
    )


async def measure() -> int:
    """Run every size, print and write the results."""
    runs = []
    for size in map(int, flags.FLAGS.sizes):
        runs.append(await measure_size(size))
        print_run(runs[-1])
    stores = [measure_store(size) for size in STORE_SIZES]
    for store in stores:
        print(
            f"state of {store.entries} upstreams with their services and instances: "
            f"{store.resident_bytes / 1e6:.1f} MB, load {store.load_seconds:.2f} s, "
            f"change {store.change_seconds * 1e3:.1f} ms"
        )
    projected = project(runs, stores) if len(runs) > 1 else []
    print("\nat the aim, by these slopes:   target   worked out")
    for name, target, value in projected:
        print(f"  {name:34} {target:>8} {value:>12}")
    content = {
        "runs": [attrs.asdict(run) for run in runs],
        "stores": [attrs.asdict(store) for store in stores],
        "projected": projected,
    }
    output = Path(flags.FLAGS.output)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(content, indent=2) + "\n")
    return 0 if all(map(is_met, runs)) else 1


def main(_: list[str]) -> None:
    """Run the experiment."""
    sys.exit(asyncio.run(measure()))


if __name__ == "__main__":
    app.run(main)
