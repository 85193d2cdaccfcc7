"""Carries the faults of a schedule out."""

from __future__ import annotations

import asyncio
import signal
import time

from .world import SPLITS

GRACE_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL, as the settings tell it."""
DRAIN_SECONDS = 3.0
"""A leaving host gets no new flow later than this after it said so."""
LAPSE_SECONDS = 3.0
"""The entry of a host that ended without a word still stands for this long."""
REUSE_SECONDS = 2.0
"""An address belongs to nobody for this long, as the users' sites say."""
RESTART_SECONDS = 0.2
CALM_SECONDS = 4.0
"""A bound holds where nothing has struck for this long before."""


class Injector:
    """Strikes a fleet; each method is a kind of fault.

    :ivar struck: monotonic time at which a fault last began or ended.
    :ivar calm_seconds: time without one before the latest fault began.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.locks = {
            address: asyncio.Lock()
            for address in (*fleet.agent_addresses, *fleet.balancer_addresses)
        }
        self.struck = float("-inf")
        self.calm_seconds = 0.0
        self.later = set()

    async def run(self, schedule):
        """Carry a schedule out, and wait until every fault is over."""
        began = time.monotonic()
        for fault in schedule:
            await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
            self.start(self.strike(fault))
        while self.later:
            await asyncio.gather(*tuple(self.later))

    def start(self, work):
        task = asyncio.create_task(work)
        self.later.add(task)
        task.add_done_callback(self.later.discard)

    async def strike(self, fault):
        now = time.monotonic()
        self.calm_seconds = now - self.struck
        self.struck = now
        await getattr(self, fault.kind)(fault)
        self.struck = time.monotonic()

    def balancer(self, fault):
        return self.pick(self.fleet.balancer_addresses, fault)

    def agent(self, fault):
        return self.pick(self.fleet.agent_addresses, fault)

    def pick(self, addresses, fault):
        return addresses[fault.target % len(addresses)]

    # Processes.

    async def kill(self, address):
        async with self.locks[address]:
            self.fleet.resume(address)
            await self.fleet.end(address, signal.SIGKILL)
            await asyncio.sleep(RESTART_SECONDS)
            await self.fleet.start_process(address)

    async def terminate(self, address):
        """Stop a process as planned: it ends in time and says that all went well."""
        async with self.locks[address]:
            await self.fleet.wait_for_signals(address)
            began, lag = time.monotonic(), self.fleet.lag
            pauses = self.fleet.pauses[address]
            code = await self.fleet.end(address, signal.SIGTERM)
            seconds = time.monotonic() - began - (self.fleet.lag - lag)
            seconds -= self.fleet.pauses[address] - pauses
            if code != 0:
                self.fleet.report(f"{address} ended with {code} after SIGTERM")
            elif seconds > GRACE_SECONDS:
                self.fleet.report(f"{address} took {seconds:.1f} s to stop")
            await asyncio.sleep(RESTART_SECONDS)
            await self.fleet.start_process(address)

    async def pause(self, address, fault):
        self.fleet.pause(address)
        await asyncio.sleep(fault.seconds)
        self.fleet.pauses[address] += fault.seconds
        self.fleet.resume(address)

    async def kill_balancer(self, fault):
        await self.kill(self.balancer(fault))

    async def kill_agent(self, fault):
        await self.kill(self.agent(fault))

    async def stop_balancer(self, fault):
        await self.terminate(self.balancer(fault))

    async def stop_agent(self, fault):
        await self.terminate(self.agent(fault))

    async def pause_balancer(self, fault):
        await self.pause(self.balancer(fault), fault)

    async def pause_agent(self, fault):
        await self.pause(self.agent(fault), fault)

    async def kill_everything(self, fault):
        await asyncio.gather(*map(self.kill, self.locks))

    async def reload_settings(self, fault):
        """Write a settings file that can't be read, then the old one again."""
        address = self.pick(list(self.locks), fault)
        async with self.locks[address]:
            # A process that can't read its settings when it starts may end.
            if not await self.fleet.is_ready(address):
                return
            path = self.fleet.directory / f"{address}.json"
            good = path.read_text()
            for text in ("{ not json", good):
                path.write_text(text)
                self.fleet.processes[address].send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)

    # The store, for all processes or for one.

    async def set_store(self, mode, fault):
        self.fleet.store.mode = mode
        await asyncio.sleep(fault.seconds)
        self.fleet.store.mode = "up"

    async def set_proxies(self, mode, fault):
        """Make a part of the processes lose the store."""
        names = list(self.fleet.proxies)
        count = 1 + fault.target % len(names)
        struck = [self.fleet.proxies[n] for n in self.fleet.rng.sample(names, count)]
        for proxy in struck:
            proxy.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        for proxy in struck:
            proxy.set_mode("pass")

    async def store_busy(self, fault):
        await self.set_store("busy", fault)

    async def store_garbled(self, fault):
        await self.set_store("garbled", fault)

    async def store_silent(self, fault):
        await self.set_proxies("silent", fault)

    async def store_delayed(self, fault):
        await self.set_proxies("delayed", fault)

    async def store_reset(self, fault):
        await self.set_proxies("reset", fault)

    async def store_one_way(self, fault):
        await self.set_proxies("one-way", fault)

    async def store_compacted(self, fault):
        self.fleet.store.compact()

    # Hosts.

    async def crash_host(self, fault):
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_dark:
            return
        host.crash()
        host.is_dark = True
        await asyncio.sleep(fault.seconds)
        if self.fleet.hosts[address] is host:
            await self.begin_life(address)

    async def freeze_host(self, fault):
        host = self.fleet.hosts[self.agent(fault)]
        if host.is_dark:
            return
        host.is_dark = True
        await asyncio.sleep(fault.seconds)
        host.is_dark = False

    async def drain_host(self, fault):
        """Let a host leave; new flows may come for a bounded time only."""
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_dark or host.is_leaving:
            return
        host.is_leaving = True
        was_calm = self.calm_seconds > CALM_SECONDS
        said, lag = time.monotonic(), self.fleet.lag
        self.fleet.publish_host(address, state="draining")
        before = self.struck
        await asyncio.sleep(DRAIN_SECONDS + 1.0)
        last = said + DRAIN_SECONDS + (self.fleet.lag - lag)
        late = [at for at, _ in host.offered if at > last]
        if late and was_calm and self.struck == before:
            self.fleet.report(f"{address} got {len(late)} flows after it had left")
        if self.fleet.hosts[address] is host:
            await self.begin_life(address)

    async def reuse_address(self, fault):
        """Give a host's address to another service."""
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_dark or host.is_leaving:
            return
        host.crash()
        host.is_dark = True
        async with self.locks[address]:
            self.fleet.resume(address)
            await self.fleet.end(address, signal.SIGKILL)
            await asyncio.sleep(REUSE_SECONDS)
            names = list(self.fleet.services.values())
            others = [name for name in names if name != self.fleet.services[address]]
            if names.count(self.fleet.services[address]) > 1 and others:
                self.fleet.services[address] = others[0]
            await self.begin_life(address)
            await self.fleet.start_process(address)

    async def begin_life(self, address):
        """Let the next host begin at an address; the old entry lapses later."""
        old = f"servers/{self.fleet.host_key(address)}"
        self.fleet.lives[address] += 1
        await self.fleet.add_host(address)
        self.start(self.lapse(old))

    async def lapse(self, key):
        await asyncio.sleep(LAPSE_SECONDS)
        if key in self.fleet.store.items:
            self.fleet.store.remove(key)

    # Others.

    async def lose_packets(self, fault):
        self.fleet.fabric.loss = 0.1
        await asyncio.sleep(fault.seconds)
        self.fleet.fabric.loss = 0.0

    async def change_split(self, fault):
        """Let the split route name other services; open flows stay where they are."""
        self.fleet.version += 3
        self.fleet.split = SPLITS[fault.target % len(SPLITS)]
        self.fleet.publish_routes(self.fleet.version)

    async def restart_without_store(self, fault):
        """Begin a balancer anew that can't reach the store for a while."""
        address = self.balancer(fault)
        proxy = self.fleet.proxies[address]
        proxy.set_mode("reset")
        await self.kill(address)
        await asyncio.sleep(fault.seconds)
        proxy.set_mode("pass")

    async def change_routes(self, fault):
        """Add one route and remove another."""
        self.fleet.version += 3
        self.fleet.probe_ports = [self.fleet.probe_ports[-1] + 1]
        self.fleet.publish_routes(self.fleet.version)
