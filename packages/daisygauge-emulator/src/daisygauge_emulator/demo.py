"""Runs fleets on loopback under failures and checks the outcome of every request.

Two services of each deployment get several hundred requests and one long feed
each. Meanwhile one balancer is killed, another is replaced and one upstream is
drained. The last line is JSON. The exit code is 0 only if no flow broke, no request
was misdelivered or run twice, and every request has an outcome.
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
from daisygauge_emulator._server import limit_library_logging
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
MAX_PRINTED_FINDINGS = 10


@frozen(kw_only=True)
class DeploymentResult:
    """Result of the demo for one deployment.

    :param broken: reasons of flows that ended without a planned change.
    :param problems: planned stops that timed out or had an exit code other than 0.
    """

    account: Reconciliation
    broken: list[str]
    problems: list[str]
    feeds: list[FeedReport]

    @property
    def passed(self) -> bool:
        """Whether outcomes are complete and consistent and no flow broke."""
        account = self.account
        return account.consistent and account.complete and not self.broken


class Progress:
    """Prints messages with the time since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()

    @property
    def seconds(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started

    def print(self, text: str) -> None:
        """Print one line."""
        print(f"[{self.seconds:5.1f} s] {text}", flush=True)


def find_feed_host(fleet: Fleet, workload: ServiceWorkload) -> Host:
    """Return the host of a service's feed, the hardest host to drain."""
    hosts = fleet.hosts_of(workload.target.service)
    seen = workload.feed.report.hosts
    id = seen[-1].split(";")[0] if seen else ""
    return fleet.hosts.get(id, hosts[0])


async def inject_failures(
    fleet: Fleet, workloads: list[ServiceWorkload], progress: Progress
) -> list[str]:
    """Kill one balancer, replace another and drain a host.

    :return: planned stops that timed out or had an exit code other than 0.
    """
    killed, replaced = list(fleet.balancers.values())[:2]
    await asyncio.sleep(WARM_UP_SECONDS)
    progress.print(f"SIGKILL to {killed.id}")
    await killed.process.kill()
    await asyncio.sleep(STEP_SECONDS)
    progress.print(f"starting {killed.id} again")
    await fleet.restart_balancer(killed)
    await fleet.stand_ins.wait_live(set(fleet.balancers))
    problems = await replace_balancer(fleet, replaced, progress)
    await fleet.stand_ins.wait_live(set(fleet.balancers))
    await asyncio.sleep(STEP_SECONDS)
    host = find_feed_host(fleet, workloads[0])
    problems += await drain_host(fleet, host, progress)
    await asyncio.sleep(STEP_SECONDS)
    return problems


async def replace_balancer(
    fleet: Fleet, balancer: Balancer, progress: Progress
) -> list[str]:
    """Replace a balancer under load.

    :return: a description of the problem if the balancer did not stop cleanly.
    """
    progress.print(f"replacing {balancer.id}")
    try:
        code = await fleet.replace_balancer(balancer)
    except FleetError as error:
        return [str(error)]
    progress.print(f"replaced {balancer.id}, exit code {code}")
    return [f"{balancer.id} drained with exit code {code}"] if code else []


async def drain_host(fleet: Fleet, host: Host, progress: Progress) -> list[str]:
    """Drain a host under load.

    :return: a description of the problem if the host did not stop cleanly.
    """
    progress.print(f"draining {host.id}, which serves the feed")
    try:
        codes = await fleet.drain_host(host)
    except FleetError as error:
        return [str(error)]
    progress.print(f"drained {host.id}, exit codes {codes}")
    return [f"{host.id} drained with exit codes {codes}"] if any(codes) else []


async def run_deployment(
    deployment_id: str, *, number: int, progress: Progress
) -> DeploymentResult:
    """Start the fleet of one deployment and run its workload under failures."""
    deployment = DEPLOYMENTS[deployment_id].resized(hosts=DEMO_HOSTS)
    addresses = AddressPlan.for_this_process(number=number)
    if flags.FLAGS.block:
        addresses = AddressPlan(block=f"{flags.FLAGS.block}.{number + 1}")
    progress.print(f"starting {deployment_id} at {addresses.block}.0")
    async with Fleet(deployment, addresses=addresses) as fleet:
        progress.print(f"{deployment_id} is ready: {len(fleet.processes)} processes")
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
            problems = await inject_failures(fleet, workloads, progress)
        finally:
            for workload in workloads:
                workload.stopping.set()
            await running
        await asyncio.gather(*(workload.close() for workload in workloads))
        progress.print(f"{deployment_id}: reconciling outcomes with the ledgers")
        result = summarize(fleet, workloads, problems)
    if result.passed and not result.problems:
        # Logs and test keys are needed only to examine a failure.
        shutil.rmtree(fleet.directory)
    return result


def summarize(
    fleet: Fleet, workloads: list[ServiceWorkload], problems: list[str]
) -> DeploymentResult:
    """Reconcile a deployment's outcomes with its ledgers."""
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


def total_results(results: list[DeploymentResult], *, seconds: float) -> dict[str, Any]:
    """Return the totals over all deployments for the last line."""
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
    """Print the first ``MAX_PRINTED_FINDINGS`` problems."""
    findings = result.broken + result.problems + result.account.notes
    for finding in findings[:MAX_PRINTED_FINDINGS]:
        progress.print(finding)
    if len(findings) > MAX_PRINTED_FINDINGS:
        progress.print(f"and {len(findings) - MAX_PRINTED_FINDINGS} more")


async def run_demo() -> bool:
    """Run all deployments concurrently and return whether all passed."""
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
    print(json.dumps(total_results(results, seconds=progress.seconds)), flush=True)
    return all(result.passed and not result.problems for result in results)


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_list(
        "deployments", sorted(DEPLOYMENTS), "Deployments to run concurrently."
    )
    flags.DEFINE_integer("callers", 6, "Number of callers of each service.", 1)
    flags.DEFINE_integer("seed", 1, "Seed of the requests.")
    flags.DEFINE_string(
        "block", None, "First two octets of the addresses, such as 127.20."
    )
    flags.register_validator(
        "deployments",
        lambda names: bool(names) and set(names) <= set(DEPLOYMENTS),
        message=f"choose from {', '.join(sorted(DEPLOYMENTS))}",
    )


def main(argv: list[str]) -> None:
    """Run the demo and exit with 0 if it passed, else with 1."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}; use --name=value")
    limit_library_logging()
    try:
        passed = uvloop.run(run_demo())
    except FleetError as error:
        sys.exit(f"the fleet did not start: {error}")
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    define_flags()
    app.run(main)
