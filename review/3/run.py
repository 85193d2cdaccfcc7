"""A route moves to a new service, one of whose agents stands still for a while."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stand_ins.client import Habit
from stand_ins.deployment import (
    UNUSABLE,
    Deployment,
    Plan,
    conclude,
    has_trouble,
    run_case,
)
from stand_ins.judge import find_resets, find_strays

PLAN = Plan(
    balancers=3,
    services={"old": 3},
    service="old",
    slots=4,
    timeout_seconds=5.3,
)
CLIENTS = 60
NEW_HOSTS = 5
FREEZE_SECONDS = 3.5


async def remove_balancer(deployment: Deployment) -> None:
    """Stop a balancer as planned; return once the routers no longer use it."""
    machine = deployment.fleet.of_role("balancer")[0]
    deployment.record.note(f"SIGTERM to {machine.name}, which leaves")
    deployment.spawn(deployment.fleet.shut_down(machine))
    while deployment.router.misses[machine.address] < 1:
        await asyncio.sleep(0.01)


async def main() -> int:
    """Run the case and return its exit code."""
    deployment = Deployment(plan=PLAN, seed=1)
    try:
        await deployment.start()
        habit = Habit(time_limit=PLAN.timeout_seconds, pause=1.2)
        await deployment.add_clients(CLIENTS, habit)
        added = await deployment.add_machines("new", NEW_HOSTS)
        await asyncio.sleep(2.0)
        deployment.record.note("version 2 moves the route to the new service")
        route = deployment.make_route(PLAN.route, {"new": 1})
        deployment.publish_routes(2, [route])
        await asyncio.sleep(6.0)
        await remove_balancer(deployment)
        if has_trouble():
            await deployment.freeze(added[0], seconds=FREEZE_SECONDS)
        else:
            await asyncio.sleep(FREEZE_SECONDS)
        await asyncio.sleep(6.0)
    finally:
        deployment.stop()
    if not deployment.served():
        return UNUSABLE
    breaks = find_strays(deployment.record) + find_resets(deployment.record)
    served = deployment.served()
    return conclude(deployment, Path(__file__).parent, breaks, served=served)


if __name__ == "__main__":
    sys.exit(run_case(main))
