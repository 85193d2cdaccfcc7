"""The fabric of a soak: spreads clients' packets over the balancers in rotation."""

from __future__ import annotations

import asyncio
import random

from xxhash import xxh3_64_intdigest

CHECK_SECONDS = 0.5
MISSES_TO_LEAVE = 2
MOVED_SHARE = 0.1
"""Part of the packets that reach another balancer than the flow's."""


class Fabric:
    """Steady hashing over the balancers that report ready.

    :param is_ready: asks a balancer whether it wants traffic.
    :param send: sends a packet to a balancer.
    :ivar loss: part of the packets that are lost.
    """

    def __init__(self, *, balancers, is_ready, send, seed):
        self.balancers = balancers
        self.is_ready = is_ready
        self.send = send
        self.rng = random.Random(seed)
        self.misses = dict.fromkeys(balancers, 0)
        self.loss = 0.0

    async def run(self):
        while True:
            answers = await asyncio.gather(*map(self.is_ready, self.balancers))
            for balancer, is_ready in zip(self.balancers, answers, strict=True):
                self.misses[balancer] = 0 if is_ready else self.misses[balancer] + 1
            await asyncio.sleep(CHECK_SECONDS)

    def rotation(self):
        """Return the balancers in use; too few mean all, dead ones included."""
        used = [b for b in self.balancers if self.misses[b] < MISSES_TO_LEAVE]
        return used if 2 * len(used) >= len(self.balancers) else self.balancers

    def carry(self, key, data):
        if self.rng.random() < self.loss:
            return
        used = self.rotation()
        if self.rng.random() < MOVED_SHARE:
            self.send(self.rng.choice(used), data)
            return
        self.send(max(used, key=lambda b: xxh3_64_intdigest(key + b.encode())), data)
