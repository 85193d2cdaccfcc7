"""The subscriptions of a daemon to the peers that it follows."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from daisygauge_records import Instance

from ._events import Observe, PeerLost
from ._node import Node
from ._subscription import SUBSCRIPTION_ERRORS, Subscription
from ._suspicions import Suspicions


class Subscriptions:
    """Starts and ends subscriptions, and marks peers that fail as suspect.

    :ivar by_peer: subscriptions by the id of the peer, most preferred first.
    """

    def __init__(self, *, node: Node, suspicions: Suspicions, observe: Observe) -> None:
        self.node = node
        self.suspicions = suspicions
        self.observe = observe
        self.by_peer: dict[str, Subscription] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failure: Exception | None = None

    def set_peers(self, peers: Iterable[Instance]) -> None:
        """Follow exactly these peers.

        :raises Exception: an unexpected error that has ended a subscription.
        """
        if self._failure is not None:
            raise self._failure
        wanted = {peer.id: peer for peer in peers}
        for id in [
            id
            for id, subscription in self.by_peer.items()
            if wanted.get(id) != subscription.peer
        ]:
            self._end(id)
        subscriptions = {
            id: self.by_peer.get(id) or self._start(wanted[id]) for id in wanted
        }
        self.by_peer = subscriptions

    def _start(self, peer: Instance) -> Subscription:
        subscription = Subscription(peer=peer, node=self.node)
        self._tasks[peer.id] = asyncio.create_task(self._run(subscription))
        return subscription

    def _end(self, id: str) -> None:
        self._tasks.pop(id).cancel()
        del self.by_peer[id]

    async def _run(self, subscription: Subscription) -> None:
        id = subscription.peer.id
        try:
            await subscription.run()
        except SUBSCRIPTION_ERRORS as error:
            self.suspicions.record_failure(id, now=asyncio.get_running_loop().time())
            reason = str(error) or type(error).__name__
            self.observe(PeerLost(peer=id, reason=reason))
        except Exception as error:
            self._failure = error
        if self.by_peer.get(id) is subscription:
            del self.by_peer[id]
            del self._tasks[id]
        self.node.changed.notify()

    def clear_suspicions(self) -> None:
        """Clear the suspicions of peers that answer."""
        for id, subscription in self.by_peer.items():
            if subscription.answered:
                self.suspicions.record_success(id)

    async def close(self) -> None:
        """End every subscription."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
