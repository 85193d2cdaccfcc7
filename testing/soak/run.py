"""One soak: clients ask while faults strike, and every promise is checked."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from attrs import Factory, define

from .faults import KINDS, make_schedule
from .injector import Injector
from .world import PROBE_HOST, SERVICES, SPLIT_END, SoakFleet

RECOVERY_SECONDS = 12.0
"""Time after the last fault in which service must be back, as the users' sites say."""
CONFIGURATION_SECONDS = 3.0
"""Time in which a change must be in force."""
LONG_FLOWS = 8
SHORT_CLIENTS = 4
THINK_SECONDS = 0.1
TRIES = 3
FINAL_REQUESTS = 20


@define
class SoakResult:
    """What a soak saw.

    :ivar broken: broken promises, as text.
    :ivar outcomes: requests by outcome.
    """

    seed: int
    broken: list = Factory(list)
    outcomes: Counter = Factory(Counter)


class Soak:
    """Plays one seed."""

    def __init__(self, directory, *, seed, block, seconds, pause, kinds=KINDS):
        self.fleet = SoakFleet(directory, block=block, seed=seed)
        self.injector = None
        self.rng = random.Random(seed)
        self.schedule = make_schedule(seed, seconds=seconds, pause=pause, kinds=kinds)
        self.result = SoakResult(seed=seed, broken=self.fleet.broken)
        self.bodies = 0
        self.is_over = False

    async def play(self):
        fleet = self.fleet
        await fleet.start()
        try:
            self.injector = Injector(fleet)
            clients = [asyncio.create_task(self.keep_flow()) for _ in range(LONG_FLOWS)]
            clients += [
                asyncio.create_task(self.open_flows()) for _ in range(SHORT_CLIENTS)
            ]
            await self.injector.run(self.schedule)
            await self.check_recovery()
            self.is_over = True
            await asyncio.gather(*clients)
            self.check_runs()
        finally:
            await fleet.stop()
        return self.result

    def next_body(self):
        self.bodies += 1
        return b"POST /%d HTTP/1.1\r\nX-Attempt-Id: s%d\r\n\r\n" % (
            self.bodies,
            self.bodies,
        )

    async def ask(self, flow):
        """Send one request; an answer must be that of this request, and whole."""
        body = self.next_body()
        answer = await flow.ask(body)
        if answer is not None and answer != b"HTTP/1.1 200 OK\r\n\r\n" + body:
            self.fleet.report(f"request {self.bodies} got another's answer")
        self.result.outcomes["answered" if answer else "unanswered"] += 1
        return answer is not None

    async def keep_flow(self):
        """Keep a flow open and ask on it again and again."""
        service = self.rng.choice([*SERVICES.values(), SPLIT_END])
        while not self.is_over:
            flow = self.fleet.new_flow(service)
            if await flow.open():
                while not self.is_over and await self.ask(flow):
                    await asyncio.sleep(self.rng.uniform(0.0, 2 * THINK_SECONDS))
                flow.close()
            else:
                self.result.outcomes["not opened"] += 1
                await asyncio.sleep(THINK_SECONDS)
            self.fleet.forget(flow)

    async def open_flows(self):
        """Open a flow for each request."""
        while not self.is_over:
            await self.ask_once(self.rng.choice([*SERVICES.values(), SPLIT_END]))
            await asyncio.sleep(THINK_SECONDS)

    async def ask_once(self, service_end):
        flow = self.fleet.new_flow(service_end)
        is_open = await flow.open()
        is_answered = is_open and await self.ask(flow)
        if is_open:
            flow.close()
        self.fleet.forget(flow)
        return is_answered

    async def check_recovery(self):
        """All is over: within the bound every service answers, and routes are new."""
        fleet = self.fleet
        until = time.monotonic() + RECOVERY_SECONDS
        lag = fleet.lag
        ends = [*SERVICES.values(), (PROBE_HOST, fleet.probe_ports[-1])]
        served = {host.service for host in fleet.hosts.values()}
        waiting = [end for end in ends if self.is_served(end, served)]
        while waiting:
            answers = [await self.ask_once(end) for end in waiting]
            waiting = [e for e, ok in zip(waiting, answers, strict=True) if not ok]
            if waiting and time.monotonic() - (fleet.lag - lag) > until:
                fleet.report(f"no answer from {waiting} after {RECOVERY_SECONDS} s")
                return
        await self.check_calm(served)

    async def check_calm(self, served):
        """Requests of calm times are all answered; a route removed leads nowhere."""
        fleet = self.fleet
        await asyncio.sleep(CONFIGURATION_SECONDS)
        ends = [end for end in SERVICES.values() if self.is_served(end, served)]
        for number in range(FINAL_REQUESTS):
            end = ends[number % len(ends)]
            for _ in range(TRIES):
                if await self.ask_once(end):
                    break
            else:
                fleet.report(f"a request to {end} failed {TRIES} times in calm")
        if fleet.probe_ports[-1] > 8_001:
            old = fleet.new_flow((PROBE_HOST, fleet.probe_ports[-1] - 1))
            if await old.open():
                fleet.report("a flow opened to a route that was removed")

    def is_served(self, end, served):
        names = [name for name, own in SERVICES.items() if own == end]
        return (names[0] if names else "order-desk") in served

    def check_runs(self):
        """No request has run twice."""
        ran = Counter()
        for host in self.fleet.every_host:
            ran.update(host.ran)
        for body, count in ran.items():
            if count > 1:
                self.fleet.report(f"{body[:20]!r} ran {count} times")
