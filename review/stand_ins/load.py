"""A constant load on several routes, and the rule CONFIG as RULES.md words it."""

from __future__ import annotations

import asyncio

from stand_ins.deployment import Deployment
from stand_ins.fresh import Attempt, FreshClient

ROLLBACK_WINDOW_SECONDS = 0.25


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
        seconds = self.deployment.plan.timeout_seconds
        attempt = await self.client.request(route, balancer, seconds=seconds)
        self.attempts.append(attempt)

    @property
    def served(self) -> int:
        """Return the number of answered requests."""
        return sum(attempt.outcome == "answered" for attempt in self.attempts)


def find_regressions(
    load: Load, *, changed: tuple[str, int], added: tuple[str, int], withdrawn: str
) -> list[str]:
    """Return the requests that were handled as only an older version allows.

    :param changed: route from which the new version withdraws a service.
    :param added: route that the new version adds: a request that a host runs there
        shows that its balancer has the version.
    """
    deployment = load.deployment
    record = deployment.record
    since: dict[str, float] = {}
    for attempt in load.attempts:
        if attempt.service == added and attempt.request in record.runs:
            at = record.run_times[attempt.request]
            since[attempt.balancer] = min(at, since.get(attempt.balancer, at))
    breaks = []
    for attempt in load.attempts:
        seen = since.get(attempt.balancer, float("inf"))
        for host in record.runs.get(attempt.request, []):
            is_old = deployment.fleet.machines[host].service == withdrawn
            if attempt.service != changed or not is_old:
                continue
            sent_at = attempt.sent_at[record.openings[host, attempt.ends]]
            if sent_at > seen + ROLLBACK_WINDOW_SECONDS:
                breaks.append(
                    f"CONFIG {attempt.request}: sent at {sent_at:.3f} through "
                    f"{attempt.balancer}, where a host saw the new version at "
                    f"{seen:.3f}; run by {host} of the withdrawn service"
                )
    return breaks
