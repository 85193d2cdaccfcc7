"""The steady mix of requests that the demo's callers send."""

from __future__ import annotations

import asyncio
import random
import time
import uuid

from attrs import define, field

from ._accounting import Record
from .caller import Caller, Client, Feed, Request, Target

FEED_PATH = "/feed?interval_ms=100&size=64"
LOOKUP_PATH = "/run?work_ms=5&size=400"
ENTRY_PATH = "/run?work_ms=10&size=100"
DOWNLOAD_PATH = "/download?size=40000"
SHARES = {"lookup": 0.7, "entry": 0.2, "download": 0.1}
MEAN_PAUSE_SECONDS = 0.12


def draw_request(generator: random.Random) -> Request:
    """Draw one request of the mix; entries carry an idempotency key."""
    kinds = list(SHARES)
    match generator.choices(kinds, weights=SHARES.values())[0]:
        case "lookup":
            return Request(path=LOOKUP_PATH)
        case "entry":
            key = uuid.UUID(int=generator.getrandbits(128)).hex
            return Request(path=ENTRY_PATH, method="POST", idempotency_key=key)
        case _:
            return Request(path=DOWNLOAD_PATH, deadline_seconds=30.0)


@define(kw_only=True, eq=False)
class ServiceWorkload:
    """Callers of one service, with one long feed among them.

    :ivar records: every request so far with its outcome.
    """

    target: Target
    callers: list[Caller]
    feed_caller: Caller
    feed: Feed
    seed: int
    records: list[Record] = field(factory=list)
    stopping: asyncio.Event = field(factory=asyncio.Event)

    @classmethod
    def create(
        cls, target: Target, *, callers: int, seed: int, clients: list[Client]
    ) -> ServiceWorkload:
        """Prepare callers that use the given libraries in turn."""
        feed_caller = Caller(target)
        return cls(
            target=target,
            callers=[
                Caller(target, client=clients[number % len(clients)])
                for number in range(callers)
            ],
            feed_caller=feed_caller,
            feed=Feed(feed_caller, path=FEED_PATH),
            seed=seed,
        )

    async def run(self) -> None:
        """Send requests until ``stopping`` is set; all outcomes are awaited."""
        feed = asyncio.create_task(self.feed.run())
        try:
            await asyncio.gather(
                *(self.call(c, number) for number, c in enumerate(self.callers))
            )
        finally:
            feed.cancel()
            await asyncio.gather(feed, return_exceptions=True)

    async def call(self, caller: Caller, number: int) -> None:
        """Send the requests of one caller, one after another."""
        generator = random.Random(f"{self.seed}/{self.target.service}/{number}")
        while not self.stopping.is_set():
            await asyncio.sleep(generator.expovariate(1 / MEAN_PAUSE_SECONDS))
            request = draw_request(generator)
            started = time.time()
            outcome = await caller.request(request)
            self.records.append(
                Record(
                    service=self.target.service,
                    caller=f"{caller.client.value}-{number}",
                    request=request,
                    outcome=outcome,
                    started=started,
                    ended=time.time(),
                )
            )

    @property
    def lost_connections(self) -> list[str]:
        """Why connections ended without a GOAWAY before it."""
        callers = [*self.callers, self.feed_caller]
        return [reason for caller in callers for reason in caller.lost]

    async def close(self) -> None:
        """End every connection."""
        callers = [*self.callers, self.feed_caller]
        await asyncio.gather(*(caller.close() for caller in callers))
