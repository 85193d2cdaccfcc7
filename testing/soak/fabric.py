"""Soak fabric that distributes clients' packets over the balancers in rotation."""

from __future__ import annotations

import asyncio
import random

from xxhash import xxh3_64_intdigest

CHECK_SECONDS = 0.5
FAILED_CHECKS_TO_REMOVE = 2
REROUTED_SHARE = 0.1
"""Share of the packets that go to a random balancer instead of the flow's own."""


class Fabric:
    """Rendezvous hashing over the balancers that report ready.

    :param is_ready: coroutine function that tells if a balancer is ready for traffic.
    :param send: function that sends a packet to a balancer.
    :ivar failed_checks: number of consecutive failed checks by balancer.
    :ivar loss: share of the packets that are dropped.
    """

    def __init__(self, *, balancers, is_ready, send, seed):
        self.balancers = balancers
        self.is_ready = is_ready
        self.send = send
        self.rng = random.Random(seed)
        self.failed_checks = dict.fromkeys(balancers, 0)
        self.loss = 0.0

    async def run(self):
        while True:
            answers = await asyncio.gather(*map(self.is_ready, self.balancers))
            for balancer, is_ready in zip(self.balancers, answers, strict=True):
                self.failed_checks[balancer] = (
                    0 if is_ready else self.failed_checks[balancer] + 1
                )
            await asyncio.sleep(CHECK_SECONDS)

    def rotation(self):
        """Return the balancers in rotation.

        If fewer than half are, all are returned, including dead ones.
        """
        used = [
            b for b in self.balancers if self.failed_checks[b] < FAILED_CHECKS_TO_REMOVE
        ]
        return used if 2 * len(used) >= len(self.balancers) else self.balancers

    def forward(self, key, data):
        if self.rng.random() < self.loss:
            return
        used = self.rotation()
        if self.rng.random() < REROUTED_SHARE:
            self.send(self.rng.choice(used), data)
            return
        self.send(max(used, key=lambda b: xxh3_64_intdigest(key + b.encode())), data)
