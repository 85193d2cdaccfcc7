"""Deciding, again and again, whether to watch the platform and whom to follow."""

from __future__ import annotations

import asyncio
import contextlib
import random

from daisygauge_records import Role

from ._errors import PlatformUnavailableError
from ._events import FellBackToPlatform, Observe, WatcherChanged
from ._links import Links
from ._node import Node
from ._seats import Plan, make_plan
from ._suspicions import Suspicions
from ._watch import PlatformWatch

TICK_SECONDS = 1.0
SETTLE_SECONDS = 3.0
"""Longest time that a newborn daemon waits for its peers."""
SEAT_LINGER_SECONDS = 10.0
FALL_BACK_AFTER_SECONDS = 2.0
FALL_BACK_SPREAD_SECONDS = 8.0
"""Time over which daemons that lost their peers together read the platform."""
FALL_BACK_AGAIN_SECONDS = 20.0


class Steering:
    """Keeps links and the watch of the platform as the instance list asks for.

    :ivar settled: True once the configuration is the highest of what the platform
        and the peers hold.
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
        self.links = Links(node=node, suspicions=self.suspicions, observe=observe)
        self.settled = False
        self._seat_until = 0.0
        self._linked_at = 0.0
        self._fall_back_at = float("inf")
        self._watching: asyncio.Task[None] | None = None
        self._planned_for: tuple[object, object] = (None, None)
        self._plan = Plan(seat=False, links=())

    async def run(self) -> None:
        """Steer until cancelled."""
        try:
            await self._learn_members()
            started = self._now()
            self._linked_at = started
            while True:
                self._steer(started=started)
                await self._fall_back_when_due()
                await self.node.changed.wait(seconds=TICK_SECONDS)
        finally:
            await self.links.close()
            await self._stop_watching()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _learn_members(self) -> None:
        """Read from the platform what is needed to call peers.

        Balancers need every record in any case, so they read all of them.
        """
        is_agent = self.node.member.role is Role.AGENT
        records = self.watch.read_keys if is_agent else self.watch.read_records
        await self.watch.insist(records, self.watch.read_instances)

    def _steer(self, *, started: float) -> None:
        now = self._now()
        self.links.confirm_peers()
        self._take_instances()
        plan = self._make_plan(now)
        self.links.set_peers(plan.links)
        if plan.seat:
            self._seat_until = now + SEAT_LINGER_SECONDS
        self._set_seat(now < self._seat_until)
        self._note_links(now)
        if not self.settled and self._is_settled(now - started):
            self.settled = True
            self.node.changed.notify()

    def _make_plan(self, now: float) -> Plan:
        instances = self.node.state.view.instances
        suspects = self.suspicions.current(now=now)
        if self._planned_for[0] is instances and self._planned_for[1] == suspects:
            return self._plan
        self.suspicions.forget_others(set(instances))
        self._planned_for = (instances, suspects)
        self._plan = make_plan(
            self.node.member, tuple(instances.values()), suspects=suspects
        )
        return self._plan

    def _take_instances(self) -> None:
        """Use a peer's instance list unless the platform itself is watched."""
        if self.node.is_watcher and not self.watch.failures:
            return
        for link in self.links.links.values():
            if link.answered and link.instances:
                self.node.state.apply_instances(link.instances.values())
                return

    def _set_seat(self, seat: bool) -> None:
        if seat == self.node.is_watcher:
            if self._watching is not None and self._watching.done():
                self._watching.result()
            return
        self.node.is_watcher = seat
        self.observe(WatcherChanged(is_watcher=seat))
        if seat:
            self._watching = asyncio.create_task(self.watch.run())
        elif self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _stop_watching(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)

    def _note_links(self, now: float) -> None:
        if self.node.is_watcher or any(
            link.answered for link in self.links.links.values()
        ):
            self._linked_at = now
            self._fall_back_at = float("inf")
        elif self._fall_back_at == float("inf"):
            spread = self.rng.uniform(0.0, FALL_BACK_SPREAD_SECONDS)
            self._fall_back_at = now + FALL_BACK_AFTER_SECONDS + spread

    def _is_settled(self, age: float) -> bool:
        """Tell whether a newborn daemon has the highest that it can get.

        Every peer that it follows has answered, or waiting longer is of no use;
        and either the platform or a peer that is complete itself gave records.
        """
        links = tuple(self.links.links.values())
        asked = all(link.answered for link in links) or age > SETTLE_SECONDS
        from_peer = any(link.answered and link.peer_ready for link in links)
        return asked and (from_peer or self.watch.records_read)

    async def _fall_back_when_due(self) -> None:
        """Read the platform once when no peer gives anything."""
        now = self._now()
        if now < self._fall_back_at:
            return
        again = FALL_BACK_AGAIN_SECONDS * self.rng.uniform(0.5, 1.0)
        self._fall_back_at = now + again
        self.observe(FellBackToPlatform(silent_seconds=now - self._linked_at))
        with contextlib.suppress(PlatformUnavailableError):
            await self.watch.read_instances()
            await self.watch.read_records()
