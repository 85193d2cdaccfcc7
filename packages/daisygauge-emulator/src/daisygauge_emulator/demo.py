"""Runs the whole path on loopback under failures and checks every outcome.

Two services of each deployment get several hundred requests and one long feed
each. Meanwhile one balancer is killed, another is replaced and one upstream is
drained. The last line is JSON; the exit code is 0 only if no flow broke, nothing
was misdelivered or run twice, and every request is accounted for.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import sys
import time
from typing import Any

import uvloop
from absl import app, flags
from attrs import frozen

from daisygauge_emulator._accounting import Reconciliation, reconcile
from daisygauge_emulator._server import quiet_libraries
from daisygauge_emulator._workload import ServiceWorkload
from daisygauge_emulator.caller import Client, FeedReport, Unknown
from daisygauge_emulator.fleet import (
    DEPLOYMENTS,
    AddressPlan,
    Balancer,
    Fleet,
    FleetError,
    Host,
)

DEMO_HOSTS = {"order-desk": 3, "pattern-library": 2, "orderdesk": 3, "proofshop": 2}
CLIENTS = [Client.AIOQUIC, Client.AIOQUIC, Client.QH3]
WARM_UP_SECONDS = 2.0
STEP_SECONDS = 2.0
REPORTED_NOTES = 10


@frozen(kw_only=True)
class DeploymentResult:
    """What the run of one deployment showed.

    :param broken: why flows ended that should have lasted.
    :param problems: planned stops that did not end well.
    """

    account: Reconciliation
    broken: list[str]
    problems: list[str]
    feeds: list[FeedReport]

    @property
    def passed(self) -> bool:
        """Whether the deployment kept every promise that the demo checks."""
        account = self.account
        return account.consistent and account.complete and not self.broken


class Progress:
    """Prints what happens with the time since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()

    @property
    def seconds(self) -> float:
        """Time since the start."""
        return time.monotonic() - self.started

    def say(self, text: str) -> None:
        """Print one line."""
        print(f"[{self.seconds:5.1f} s] {text}", flush=True)


def find_feed_host(fleet: Fleet, workload: ServiceWorkload) -> Host:
    """Return the host that carries a service's feed, which is the hardest to drain."""
    hosts = fleet.hosts_of(workload.target.service)
    seen = workload.feed.report.hosts
    id = seen[-1].split(";")[0] if seen else ""
    return fleet.hosts.get(id, hosts[0])


async def disturb(
    fleet: Fleet, workloads: list[ServiceWorkload], progress: Progress
) -> list[str]:
    """Kill and replace balancers and drain a host.

    :return: planned stops that did not end well.
    """
    killed, replaced = list(fleet.balancers.values())[:2]
    await asyncio.sleep(WARM_UP_SECONDS)
    progress.say(f"SIGKILL to {killed.id}")
    await killed.process.kill()
    await asyncio.sleep(STEP_SECONDS)
    progress.say(f"starting {killed.id} again")
    await fleet.restart_balancer(killed)
    await fleet.stand_ins.wait_live(set(fleet.balancers))
    problems = await stop_balancer(fleet, replaced, progress)
    await fleet.stand_ins.wait_live(set(fleet.balancers))
    await asyncio.sleep(STEP_SECONDS)
    host = find_feed_host(fleet, workloads[0])
    problems += await stop_host(fleet, host, progress)
    await asyncio.sleep(STEP_SECONDS)
    return problems


async def stop_balancer(
    fleet: Fleet, balancer: Balancer, progress: Progress
) -> list[str]:
    """Replace a balancer under load; what did not end well."""
    progress.say(f"replacing {balancer.id}")
    try:
        code = await fleet.replace_balancer(balancer)
    except FleetError as error:
        return [str(error)]
    progress.say(f"replaced {balancer.id}, exit code {code}")
    return [f"{balancer.id} drained with exit code {code}"] if code else []


async def stop_host(fleet: Fleet, host: Host, progress: Progress) -> list[str]:
    """Drain a host under load; what did not end well."""
    progress.say(f"draining {host.id}, which carries the feed")
    try:
        codes = await fleet.drain_host(host)
    except FleetError as error:
        return [str(error)]
    progress.say(f"drained {host.id}, exit codes {codes}")
    return [f"{host.id} drained with exit codes {codes}"] if any(codes) else []


async def run_deployment(
    deployment_id: str, *, number: int, progress: Progress
) -> DeploymentResult:
    """Run the path of one deployment and return its result."""
    deployment = DEPLOYMENTS[deployment_id].resized(hosts=DEMO_HOSTS)
    addresses = AddressPlan.for_this_process(number=number)
    if flags.FLAGS.block:
        addresses = AddressPlan(block=f"{flags.FLAGS.block}.{number + 1}")
    progress.say(f"starting {deployment_id} at {addresses.block}.0")
    async with Fleet(deployment, addresses=addresses) as fleet:
        progress.say(f"{deployment_id} is ready: {len(fleet.processes)} processes")
        workloads = [
            ServiceWorkload.create(
                fleet.target(plan.id),
                callers=flags.FLAGS.callers,
                seed=flags.FLAGS.seed,
                clients=CLIENTS,
            )
            for plan in deployment.services
        ]
        running = asyncio.gather(*(workload.run() for workload in workloads))
        try:
            problems = await disturb(fleet, workloads, progress)
        finally:
            for workload in workloads:
                workload.stopping.set()
            await running
        await asyncio.gather(*(workload.close() for workload in workloads))
        progress.say(f"{deployment_id}: comparing outcomes with the ledgers")
        result = summarize(fleet, workloads, problems)
    if result.passed and not result.problems:
        # Logs and test keys are of use only when something went wrong.
        shutil.rmtree(fleet.directory)
    return result


def summarize(
    fleet: Fleet, workloads: list[ServiceWorkload], problems: list[str]
) -> DeploymentResult:
    """Compare a deployment's outcomes with its ledgers."""
    records = [record for workload in workloads for record in workload.records]
    runs = [run for host in fleet.hosts.values() for run in fleet.ledger(host)]
    broken = [
        f"{workload.target.service}: {reason}"
        for workload in workloads
        for reason in workload.feed.report.breaks + workload.lost_connections
    ]
    broken += [
        f"{record.service}: {record.outcome.reason}"
        for record in records
        if isinstance(record.outcome, Unknown) and record.outcome.cut
    ]
    return DeploymentResult(
        account=reconcile(records, runs),
        broken=broken,
        problems=problems,
        feeds=[workload.feed.report for workload in workloads],
    )


def closing_line(results: list[DeploymentResult], *, seconds: float) -> dict[str, Any]:
    """Return the totals that close the demo."""
    accounts = [result.account for result in results]
    feeds = [feed for result in results for feed in result.feeds]

    def total(name: str) -> int:
        return sum(getattr(account, name) for account in accounts)

    counts = [
        "requests",
        "answered_whole",
        "not_run",
        "unknown",
        "other_answers",
        "misdelivered",
        "duplicate_runs",
        "false_not_run",
        "unfounded_answers",
        "repeated_lookups",
    ]
    return {
        **{name: total(name) for name in counts},
        "broken_flows": sum(len(result.broken) for result in results),
        "unclean_stops": sum(len(result.problems) for result in results),
        "feed_events": sum(feed.events for feed in feeds),
        "feed_moves": sum(feed.moves for feed in feeds),
        "longest_feed_silence_seconds": round(
            max(feed.longest_silence_seconds for feed in feeds), 3
        ),
        "seconds": round(seconds, 1),
    }


def print_findings(result: DeploymentResult, progress: Progress) -> None:
    """Print the first few things that went wrong."""
    findings = result.broken + result.problems + result.account.notes
    for finding in findings[:REPORTED_NOTES]:
        progress.say(finding)
    if len(findings) > REPORTED_NOTES:
        progress.say(f"and {len(findings) - REPORTED_NOTES} more")


async def run_demo() -> bool:
    """Run every deployment at the same time; True if all of it passed."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    progress = Progress()
    results = await asyncio.gather(
        *(
            run_deployment(deployment, number=number, progress=progress)
            for number, deployment in enumerate(flags.FLAGS.deployments)
        )
    )
    for result in results:
        print_findings(result, progress)
    print(json.dumps(closing_line(results, seconds=progress.seconds)), flush=True)
    return all(result.passed and not result.problems for result in results)


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_list(
        "deployments", sorted(DEPLOYMENTS), "Deployments to run at the same time."
    )
    flags.DEFINE_integer("callers", 6, "Callers of each service.", 1)
    flags.DEFINE_integer("seed", 1, "Seed of the requests.")
    flags.DEFINE_string(
        "block", None, "First two numbers of the addresses, such as 127.20."
    )
    flags.register_validator(
        "deployments",
        lambda names: bool(names) and set(names) <= set(DEPLOYMENTS),
        message=f"name some of {', '.join(sorted(DEPLOYMENTS))}",
    )


def main(argv: list[str]) -> None:
    """Run the demo and exit with its verdict."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}; use --name=value")
    quiet_libraries()
    try:
        passed = uvloop.run(run_demo())
    except FleetError as error:
        sys.exit(f"the fleet did not start: {error}")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    define_flags()
    app.run(main)
