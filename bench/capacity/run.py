"""Measure the cost of control per fleet size and extrapolate to the target size.

Prints a table and writes the results to a JSON file. The exit code is 1 when a run
misses a target that applies to every size.
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

TARGET_DAEMONS = 7_600
TARGET_BALANCERS = 1_100
TARGET_UPSTREAMS = 6_500
TARGET_DOMAINS = 17
CHANGES_PER_DAY = 920
LIST_CHANGES_PER_DAY = 550 * 3
"""Three changes per replaced instance: it drains, it is removed, a new one is added."""
SECONDS_PER_DAY = 86_400
IN_FORCE_TARGET_SECONDS = 3.0
WATCHERS_KILLED_TARGET_SECONDS = 15.0
PROBES = 8
PROBE_PAUSE_SECONDS = 0.5
STEADY_SECONDS = 12.0
DOMAINS = 2
SECRET = "5a" * 32
STORE_SIZES = (500, 2_000, 6_500)

flags.DEFINE_list("sizes", ["24", "48", "96"], "Number of daemons in each run.")
flags.DEFINE_string("output", "bench/results/capacity.json", "File for the results.")
flags.DEFINE_string("block", "127.20", "First two octets of the loopback addresses.")


@attrs.frozen(kw_only=True)
class Usage:
    """Resource usage of one kind of daemon, as the median over its daemons.

    :param processor_share: share of one core in steady state.
    :param change_seconds: processor time per change beyond steady state.
    :param change_bytes: bytes sent per change beyond steady state.
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
class SizeResult:
    """Results of one fleet size.

    The fields are written to the results file, where a watcher is called a seat.

    :param in_force_seconds: time until each change was in force everywhere.
    :param seats_killed_seconds: the same if all watchers are killed at the change.
    """

    size: int
    seats: int
    start_seconds: float
    in_force_seconds: tuple[float, ...]
    seats_killed_seconds: float
    reads_per_second: float
    usage: dict[str, Usage]


async def publish_probe(fleet: Fleet, number: int) -> float:
    """Publish the probe record and return the Unix time just before."""
    spec = {"number": number, "address": {"host": "10.0.0.1", "port": 443}}
    at = now()
    await fleet.platform.publish("service", "probe", spec, revision=number)
    return at


async def measure_probes(fleet: Fleet, first: int) -> tuple[float, ...]:
    """Publish several changes and return the seconds until each was in force."""
    seconds = []
    for number in range(first, first + PROBES):
        since = await publish_probe(fleet, number)
        seconds.append(await fleet.wait_for_probe(number, since=since))
        await asyncio.sleep(PROBE_PAUSE_SECONDS)
    return tuple(seconds)


def get_role(process_role: str, sample: Sample) -> str:
    """Return the kind of a participant: seat (watcher), balancer or agent."""
    return "seat" if sample.seat else process_role


def describe_usage(
    roles: dict[str, str],
    steady: tuple[dict[str, Sample], dict[str, Sample]],
    changing: tuple[dict[str, Sample], dict[str, Sample]],
) -> dict[str, Usage]:
    """Return the usage of each kind of daemon, in steady state and per change."""
    kinds: dict[str, list[str]] = {}
    for id, sample in steady[1].items():
        kinds.setdefault(get_role(roles[id], sample), []).append(id)

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


async def measure_size(size: int) -> SizeResult:
    """Run a fleet of one size and return its results."""
    fleet = Fleet(size=size, domains=DOMAINS, block=flags.FLAGS.block)
    roles = {process.id: process.role for process in fleet.processes}
    await fleet.platform.start()
    try:
        await fleet.platform.publish("key", "key-1", {"number": 1, "secret": SECRET})
        await publish_probe(fleet, 1)
        started_at = now()
        await fleet.start()
        start_seconds = now() - started_at
        await asyncio.sleep(1.0)
        before = await fleet.sample()
        in_force = await measure_probes(fleet, 2)
        after = await fleet.sample()
        reads = await fleet.platform.fetch_read_count()
        steady_from = await fleet.sample()
        await asyncio.sleep(STEADY_SECONDS)
        steady = (steady_from, await fleet.sample())
        reads = await fleet.platform.fetch_read_count() - reads
        seats = {id for id, sample in steady[1].items() if sample.seat}
        since = await publish_probe(fleet, PROBES + 2)
        await fleet.kill(seats)
        killed = await fleet.wait_for_probe(PROBES + 2, since=since)
        return SizeResult(
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


def print_run(run: SizeResult) -> None:
    """Print the results of one fleet size."""
    print(
        f"{run.size:4} daemons, {run.seats} seats: in force everywhere "
        f"{max(run.in_force_seconds):.2f} s at most "
        f"(target {IN_FORCE_TARGET_SECONDS:.0f}), "
        f"{run.seats_killed_seconds:.2f} s with all seats killed "
        f"(target {WATCHERS_KILLED_TARGET_SECONDS:.0f}); "
        f"{run.reads_per_second:.2f} reads/s",
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


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and intercept of the least-squares line."""
    line = statistics.linear_regression(*zip(*points, strict=True))
    return line.slope, line.intercept


def extrapolate(
    runs: list[SizeResult], stores: list[StoreCost]
) -> list[tuple[str, str, str]]:
    """Return quantity, target and value for the target size, by linear slopes."""
    seats = [run.usage["seat"] for run in runs]
    per_domain = TARGET_DAEMONS / TARGET_DOMAINS
    followers = per_domain * 2 / 3
    slope, base = fit_line([(u.followers, u.sent_bytes_per_second) for u in seats])
    steady = base + slope * followers
    slope_change, base_change = fit_line([(u.followers, u.change_bytes) for u in seats])
    changes = (CHANGES_PER_DAY + LIST_CHANGES_PER_DAY) / SECONDS_PER_DAY
    change_bytes = max(0.0, base_change + slope_change * followers)
    share_slope, share_base = fit_line(
        [(u.followers, u.processor_share) for u in seats]
    )
    work_slope, work_base = fit_line([(u.followers, u.change_seconds) for u in seats])
    share = share_base + share_slope * followers
    share += (work_base + work_slope * followers + stores[-1].change_seconds) * changes
    memory_slope, _ = fit_line([(s.entries, s.resident_bytes) for s in stores])
    resident = statistics.median(u.resident_bytes for u in seats)
    memory = resident + memory_slope * TARGET_UPSTREAMS
    agents = [run.usage["agent"] for run in runs]
    agent_bytes = max(
        usage.sent_bytes_per_second + usage.received_bytes_per_second
        for usage in agents
    )
    reads = TARGET_DOMAINS * 3 * (2 / 30 + 2 * changes)
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


def meets_targets(run: SizeResult) -> bool:
    """Return True if a run met the targets that apply to every size."""
    return (
        max(run.in_force_seconds) <= IN_FORCE_TARGET_SECONDS
        and run.seats_killed_seconds <= WATCHERS_KILLED_TARGET_SECONDS
    )


async def measure() -> int:
    """Run every size, and print and write the results."""
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
    projected = extrapolate(runs, stores) if len(runs) > 1 else []
    print("\nextrapolated to target size:   target extrapolated")
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
    return 0 if all(map(meets_targets, runs)) else 1


def main(_: list[str]) -> None:
    """Run the experiment."""
    sys.exit(asyncio.run(measure()))


if __name__ == "__main__":
    app.run(main)
