"""One soak run: clients send requests during faults, and promises are checked."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from attrs import Factory, define

from .faults import FAULT_KINDS, make_schedule
from .injector import Injector
from .world import PROBE_ADDRESS, SERVICES, SPLIT_ENDPOINT, SoakFleet

RECOVERY_SECONDS = 12.0
"""Longest recovery time after the last fault that the users' sites accept."""
CONFIGURATION_SECONDS = 3.0
"""Longest time until a configuration change is in force."""
LONG_FLOWS = 8
SHORT_CLIENTS = 4
THINK_SECONDS = 0.1
MAX_ATTEMPTS = 3
FINAL_REQUESTS = 20


@define
class SoakResult:
    """Result of one soak run.

    :ivar violations: broken promises, as text.
    :ivar outcomes: number of requests by outcome.
    """

    seed: int
    violations: list = Factory(list)
    outcomes: Counter = Factory(Counter)


class Soak:
    """Runs the schedule of one seed."""

    def __init__(self, directory, *, seed, block, seconds, pause, kinds=FAULT_KINDS):
        self.fleet = SoakFleet(directory, block=block, seed=seed)
        self.injector = None
        self.rng = random.Random(seed)
        self.schedule = make_schedule(seed, seconds=seconds, pause=pause, kinds=kinds)
        self.result = SoakResult(seed=seed, violations=self.fleet.violations)
        self.request_count = 0
        self.is_stopping = False

    async def run(self):
        fleet = self.fleet
        await fleet.start()
        try:
            self.injector = Injector(fleet)
            clients = [
                asyncio.create_task(self.use_long_flow()) for _ in range(LONG_FLOWS)
            ]
            clients += [
                asyncio.create_task(self.use_short_flows())
                for _ in range(SHORT_CLIENTS)
            ]
            await self.injector.run(self.schedule)
            await self.check_recovery()
            self.is_stopping = True
            await asyncio.gather(*clients)
            self.check_runs()
        finally:
            await fleet.stop()
        return self.result

    def make_request(self):
        self.request_count += 1
        return b"POST /%d HTTP/1.1\r\nX-Attempt-Id: s%d\r\n\r\n" % (
            self.request_count,
            self.request_count,
        )

    async def send_request(self, flow):
        """Send one request and check that its answer is complete and its own."""
        body = self.make_request()
        answer = await flow.send_request(body)
        if answer is not None and answer != b"HTTP/1.1 200 OK\r\n\r\n" + body:
            self.fleet.report_violation(
                f"request {self.request_count} got a wrong or incomplete answer"
            )
        self.result.outcomes["answered" if answer else "unanswered"] += 1
        return answer is not None

    async def use_long_flow(self):
        """Send requests on one flow and open a new flow when it fails."""
        service = self.rng.choice([*SERVICES.values(), SPLIT_ENDPOINT])
        while not self.is_stopping:
            flow = self.fleet.new_flow(service)
            if await flow.open():
                while not self.is_stopping and await self.send_request(flow):
                    await asyncio.sleep(self.rng.uniform(0.0, 2 * THINK_SECONDS))
                flow.close()
            else:
                self.result.outcomes["not opened"] += 1
                await asyncio.sleep(THINK_SECONDS)
            self.fleet.remove_flow(flow)

    async def use_short_flows(self):
        """Send each request on a flow of its own."""
        while not self.is_stopping:
            await self.send_single_request(
                self.rng.choice([*SERVICES.values(), SPLIT_ENDPOINT])
            )
            await asyncio.sleep(THINK_SECONDS)

    async def send_single_request(self, service_endpoint):
        flow = self.fleet.new_flow(service_endpoint)
        is_open = await flow.open()
        is_answered = is_open and await self.send_request(flow)
        if is_open:
            flow.close()
        self.fleet.remove_flow(flow)
        return is_answered

    async def check_recovery(self):
        """Check that all services and the newest route recover in time."""
        fleet = self.fleet
        deadline = time.monotonic() + RECOVERY_SECONDS
        lag_before = fleet.lag_seconds
        endpoints = [*SERVICES.values(), (PROBE_ADDRESS, fleet.probe_ports[-1])]
        served = {host.service for host in fleet.hosts.values()}
        unanswered = [
            endpoint for endpoint in endpoints if self.is_served(endpoint, served)
        ]
        while unanswered:
            answers = [
                await self.send_single_request(endpoint) for endpoint in unanswered
            ]
            unanswered = [
                e for e, ok in zip(unanswered, answers, strict=True) if not ok
            ]
            if (
                unanswered
                and time.monotonic() - (fleet.lag_seconds - lag_before) > deadline
            ):
                fleet.report_violation(
                    f"no answer from {unanswered} after {RECOVERY_SECONDS} s"
                )
                return
        await self.check_steady_service(served)

    async def check_steady_service(self, served):
        """Check that requests succeed again and that removed routes open no flow."""
        fleet = self.fleet
        await asyncio.sleep(CONFIGURATION_SECONDS)
        endpoints = [
            endpoint
            for endpoint in SERVICES.values()
            if self.is_served(endpoint, served)
        ]
        for number in range(FINAL_REQUESTS):
            endpoint = endpoints[number % len(endpoints)]
            for _ in range(MAX_ATTEMPTS):
                if await self.send_single_request(endpoint):
                    break
            else:
                fleet.report_violation(
                    f"a request to {endpoint} failed {MAX_ATTEMPTS} times "
                    "without faults"
                )
        if fleet.probe_ports[-1] > 8_001:
            old = fleet.new_flow((PROBE_ADDRESS, fleet.probe_ports[-1] - 1))
            if await old.open():
                fleet.report_violation("a flow was opened on a removed route")

    def is_served(self, endpoint, served):
        names = [name for name, known in SERVICES.items() if known == endpoint]
        return (names[0] if names else "order-desk") in served

    def check_runs(self):
        """Check that no request ran twice."""
        ran = Counter()
        for host in self.fleet.all_hosts:
            ran.update(host.run_counts)
        for body, count in ran.items():
            if count > 1:
                self.fleet.report_violation(f"{body[:20]!r} ran {count} times")
