"""The loop that decides whether to watch the platform and which peers to follow."""

from __future__ import annotations

import asyncio
import contextlib
import random

from daisygauge_records import Role

from ._errors import PlatformUnavailableError
from ._events import FellBackToPlatform, Observe, WatcherChanged
from ._node import Node
from ._subscriptions import Subscriptions
from ._suspicions import Suspicions
from ._watch import PlatformWatch
from ._watchers import SubscriptionPlan, plan_subscriptions

TICK_SECONDS = 1.0
INITIAL_SYNC_SECONDS = 3.0
"""Longest time that a daemon waits for its peers after its start."""
STOP_WATCHING_AFTER_SECONDS = 10.0
"""Time for which a daemon keeps watching after its plan ceased to require it."""
FALL_BACK_AFTER_SECONDS = 2.0
FALL_BACK_SPREAD_SECONDS = 8.0
"""Period over which the reads of daemons that lost their peers together are spread."""
FALL_BACK_INTERVAL_SECONDS = 20.0


class SubscriptionManager:
    """Keeps the subscriptions and the platform watch in line with the instance list.

    :ivar has_synced: True once the configuration has the highest revisions that the
        platform and the peers hold.
    """

    def __init__(
        self,
        *,
        node: Node,
        watch: PlatformWatch,
        observe: Observe,
        rng: random.Random,
    ) -> None:
        self.node = node
        self.watch = watch
        self.observe = observe
        self.rng = rng
        self.suspicions = Suspicions(rng=rng)
        self.subscriptions = Subscriptions(
            node=node, suspicions=self.suspicions, observe=observe
        )
        self.has_synced = False
        self._watcher_until = 0.0
        self._last_subscribed = 0.0
        self._fall_back_at = float("inf")
        self._watching: asyncio.Task[None] | None = None
        self._plan_inputs: tuple[object, object] = (None, None)
        self._plan = SubscriptionPlan(is_watcher=False, peers=())

    async def run(self) -> None:
        """Manage subscriptions until cancelled."""
        try:
            await self._bootstrap()
            started = self._now()
            self._last_subscribed = started
            while True:
                self._update(started=started)
                await self._fall_back_if_due()
                await self.node.changed.wait(seconds=TICK_SECONDS)
        finally:
            await self.subscriptions.close()
            await self._stop_watching()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _bootstrap(self) -> None:
        """Read the keys and the instance list, which calls to peers need.

        Balancers need every record anyway, so they read all of them.
        """
        is_agent = self.node.member.role is Role.AGENT
        read_first = self.watch.read_keys if is_agent else self.watch.read_records
        await self.watch.read_until_success(read_first, self.watch.read_instances)

    def _update(self, *, started: float) -> None:
        now = self._now()
        self.subscriptions.clear_suspicions()
        self._use_peer_instances()
        plan = self._make_plan(now)
        self.subscriptions.set_peers(plan.peers)
        if plan.is_watcher:
            self._watcher_until = now + STOP_WATCHING_AFTER_SECONDS
        self._set_watcher(now < self._watcher_until)
        self._schedule_fallback(now)
        if not self.has_synced and self._is_synced(now - started):
            self.has_synced = True
            self.node.changed.notify()

    def _make_plan(self, now: float) -> SubscriptionPlan:
        instances = self.node.state.view.instances
        suspects = self.suspicions.current(now=now)
        if self._plan_inputs[0] is instances and self._plan_inputs[1] == suspects:
            return self._plan
        self.suspicions.forget_others(set(instances))
        self._plan_inputs = (instances, suspects)
        self._plan = plan_subscriptions(
            self.node.member, tuple(instances.values()), suspects=suspects
        )
        return self._plan

    def _use_peer_instances(self) -> None:
        """Apply the instance list of a peer unless the platform itself is read."""
        if self.node.is_watcher and not self.watch.failures:
            return
        for subscription in self.subscriptions.by_peer.values():
            if subscription.answered and subscription.instances:
                self.node.state.apply_instances(subscription.instances.values())
                return

    def _set_watcher(self, is_watcher: bool) -> None:
        if is_watcher == self.node.is_watcher:
            if self._watching is not None and self._watching.done():
                self._watching.result()
            return
        self.node.is_watcher = is_watcher
        self.observe(WatcherChanged(is_watcher=is_watcher))
        if is_watcher:
            self._watching = asyncio.create_task(self.watch.run())
        elif self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _stop_watching(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)

    def _schedule_fallback(self, now: float) -> None:
        if self.node.is_watcher or any(
            subscription.answered
            for subscription in self.subscriptions.by_peer.values()
        ):
            self._last_subscribed = now
            self._fall_back_at = float("inf")
        elif self._fall_back_at == float("inf"):
            spread = self.rng.uniform(0.0, FALL_BACK_SPREAD_SECONDS)
            self._fall_back_at = now + FALL_BACK_AFTER_SECONDS + spread

    def _is_synced(self, age: float) -> bool:
        """Return whether the initial synchronization is complete.

        Every peer that the daemon follows must have answered, or the time to wait for
        them must be over. The records must have come from the platform or from a peer
        that reports itself ready.

        :param age: seconds since the daemon began to follow peers.
        """
        subscriptions = tuple(self.subscriptions.by_peer.values())
        peers_done = (
            all(subscription.answered for subscription in subscriptions)
            or age > INITIAL_SYNC_SECONDS
        )
        from_peer = any(
            subscription.answered and subscription.peer_ready
            for subscription in subscriptions
        )
        return peers_done and (from_peer or self.watch.records_read)

    async def _fall_back_if_due(self) -> None:
        """Read the platform once if no peer has answered for too long."""
        now = self._now()
        if now < self._fall_back_at:
            return
        again = FALL_BACK_INTERVAL_SECONDS * self.rng.uniform(0.5, 1.0)
        self._fall_back_at = now + again
        self.observe(FellBackToPlatform(silent_seconds=now - self._last_subscribed))
        with contextlib.suppress(PlatformUnavailableError):
            await self.watch.read_instances()
            await self.watch.read_records()
