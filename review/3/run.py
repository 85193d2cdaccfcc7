"""A split route is withdrawn while the process of one machine stands still."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stand_ins.deployment import (
    UNUSABLE,
    Deployment,
    Plan,
    conclude,
    has_trouble,
)
from stand_ins.fleet import ROOT, Machine
from stand_ins.fresh import Attempt, FreshClient

PLAN = Plan(
    balancers=3,
    services={"old": 8, "new": 8},
    service="new",
    slots=2,
    work_seconds=0.3,
    timeout_seconds=3.0,
)
SPLIT_ROUTE = ("198.18.0.1", 443)
ADDED_ROUTE = ("198.18.0.2", 443)
ROLLBACK_WINDOW_SECONDS = 0.25
REQUESTS_PER_SECOND = 75.0
FREEZE_SECONDS = 3.5


class Load:
    """Sends requests at a constant rate, to the balancers in turn."""

    def __init__(self, deployment: Deployment, client: FreshClient) -> None:
        self.deployment = deployment
        self.client = client
        self.balancers = [m.address for m in deployment.fleet.of_role("balancer")]
        self.attempts: list[Attempt] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, route: tuple[str, int], *, rate: float) -> None:
        """Send requests to a route until cancelled."""
        number = 0
        while True:
            number += 1
            balancer = self.balancers[number % len(self.balancers)]
            self.tasks.add(asyncio.create_task(self.send(route, balancer)))
            await asyncio.sleep(1.0 / rate)

    async def send(self, route: tuple[str, int], balancer: str) -> None:
        """Send one request."""
        seconds = PLAN.timeout_seconds
        attempt = await self.client.request(route, balancer, seconds=seconds)
        self.attempts.append(attempt)


def choose_frozen(deployment: Deployment) -> Machine:
    """Return the machine that most other processes follow."""
    sys.path.insert(0, str(ROOT / "target/deps"))
    from daisygauge_control._directory_watchers import (
        choose_agent_watchers,
        order_watchers,
    )

    agents = [m.address for m in deployment.fleet.of_role("agent")]
    watchers = choose_agent_watchers(agents)
    followers = [a for a in agents if a not in watchers]
    firsts = [order_watchers(watchers, follower=a)[0] for a in followers]
    return deployment.fleet.machines[max(watchers, key=firsts.count)]


async def main() -> int:
    """Run the case and return its exit code."""
    deployment = Deployment(plan=PLAN, seed=1)
    load = None
    try:
        await deployment.start()
        split = deployment.make_route(SPLIT_ROUTE, {"old": 50, "new": 50})
        deployment.publish_routes(2, [split])
        load = Load(deployment, await deployment.add_fresh_client())
        deployment.spawn(load.run(SPLIT_ROUTE, rate=REQUESTS_PER_SECOND))
        deployment.spawn(load.run(ADDED_ROUTE, rate=20.0))
        await asyncio.sleep(6.0)
        if has_trouble():
            frozen = choose_frozen(deployment)
            deployment.spawn(deployment.freeze(frozen, seconds=FREEZE_SECONDS))
        await asyncio.sleep(0.05)
        merged = deployment.make_route(SPLIT_ROUTE, {"new": 1})
        added = deployment.make_route(ADDED_ROUTE, {"new": 1})
        deployment.record.note("version 3 is acknowledged")
        deployment.publish_routes(3, [merged, added])
        await asyncio.sleep(8.0)
    finally:
        deployment.stop()
    if not any(attempt.outcome == "answered" for attempt in load.attempts):
        return UNUSABLE
    return conclude(deployment, Path(__file__).parent, find_regressions(load))


def find_regressions(load: Load) -> list[str]:
    """Return the requests that were handled as only an older version allows."""
    deployment = load.deployment
    runs = deployment.record.runs
    since: dict[str, float] = {}
    for attempt in load.attempts:
        if attempt.service == ADDED_ROUTE and attempt.request in runs:
            at = deployment.record.run_times[attempt.request]
            since[attempt.balancer] = min(at, since.get(attempt.balancer, at))
    breaks = []
    for attempt in sorted(load.attempts, key=lambda attempt: attempt.sent_at):
        seen = since.get(attempt.balancer, float("inf"))
        if attempt.service != SPLIT_ROUTE or attempt.sent_at <= (
            seen + ROLLBACK_WINDOW_SECONDS
        ):
            continue
        for host in runs.get(attempt.request, []):
            if deployment.fleet.machines[host].service == "old":
                breaks.append(
                    f"CONFIG {attempt.request}: sent at {attempt.sent_at:.3f} through "
                    f"{attempt.balancer}, where a host saw version 3 at {seen:.3f}; "
                    f"run by {host} of the service that version 3 withdrew"
                )
    return breaks


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
