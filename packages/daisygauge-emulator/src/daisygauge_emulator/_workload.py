"""Steady mix of requests that the callers of the demo send."""

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
REQUEST_SHARES = {"lookup": 0.7, "entry": 0.2, "download": 0.1}
MEAN_PAUSE_SECONDS = 0.12


def draw_request(generator: random.Random) -> Request:
    """Draw one request of the mix; requests of kind entry have an idempotency key."""
    kinds = list(REQUEST_SHARES)
    match generator.choices(kinds, weights=REQUEST_SHARES.values())[0]:
        case "lookup":
            return Request(path=LOOKUP_PATH)
        case "entry":
            key = uuid.UUID(int=generator.getrandbits(128)).hex
            return Request(path=ENTRY_PATH, method="POST", idempotency_key=key)
        case _:
            return Request(path=DOWNLOAD_PATH, deadline_seconds=30.0)


@define(kw_only=True, eq=False)
class ServiceWorkload:
    """Callers of one service and one long-lived feed.

    :ivar records: every finished request with its outcome.
    :ivar stopping: set to stop sending requests.
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
        """Create callers and the feed without connecting.

        :param callers: number of callers without that of the feed.
        :param clients: libraries, assigned to the callers round-robin.
        """
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
        """Send requests until ``stopping`` is set, then wait for pending outcomes."""
        feed = asyncio.create_task(self.feed.run())
        try:
            await asyncio.gather(
                *(
                    self.send_requests(c, number)
                    for number, c in enumerate(self.callers)
                )
            )
        finally:
            feed.cancel()
            await asyncio.gather(feed, return_exceptions=True)

    async def send_requests(self, caller: Caller, number: int) -> None:
        """Send requests of one caller sequentially until ``stopping`` is set.

        :param number: number of the caller, part of its seed and name.
        """
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
        """Reasons of connections that ended without a preceding GOAWAY."""
        callers = [*self.callers, self.feed_caller]
        return [reason for caller in callers for reason in caller.lost]

    async def close(self) -> None:
        """Close every connection."""
        callers = [*self.callers, self.feed_caller]
        await asyncio.gather(*(caller.close() for caller in callers))
