"""Injection of scheduled faults into a running fleet."""

from __future__ import annotations

import asyncio
import signal
import time

from .world import SPLITS

GRACE_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL, equal to ``grace_seconds`` in the settings."""
DRAIN_SECONDS = 3.0
"""Longest time after its announcement in which a leaving host gets new flows."""
ENTRY_EXPIRY_SECONDS = 3.0
"""Time for which the entry of a crashed host remains in the store."""
ADDRESS_REUSE_SECONDS = 2.0
"""Time for which an address stays unused before its reuse, as users' sites report."""
RESTART_SECONDS = 0.2
QUIET_SECONDS = 4.0
"""A time bound is checked only if no fault occurred in this time before."""


class Injector:
    """Injects faults into a fleet.

    The methods that take only a fault are the kinds of faults, looked up by name.

    :ivar last_fault_at: monotonic time at which a fault last began or ended.
    :ivar quiet_seconds: time without faults before the latest one began.
    :ivar tasks: faults and store changes in progress.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.locks = {
            address: asyncio.Lock()
            for address in (*fleet.agent_addresses, *fleet.balancer_addresses)
        }
        self.last_fault_at = float("-inf")
        self.quiet_seconds = 0.0
        self.tasks = set()

    async def run(self, schedule):
        """Inject a schedule's faults at their times and wait until all have ended."""
        started_at = time.monotonic()
        for fault in schedule:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            self.start_task(self.inject(fault))
        while self.tasks:
            await asyncio.gather(*tuple(self.tasks))

    def start_task(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def inject(self, fault):
        now = time.monotonic()
        self.quiet_seconds = now - self.last_fault_at
        self.last_fault_at = now
        await getattr(self, fault.kind)(fault)
        self.last_fault_at = time.monotonic()

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
        """Stop a process with SIGTERM and check its exit code and the time it took."""
        async with self.locks[address]:
            await self.fleet.wait_for_signals(address)
            started_at, lag_before = time.monotonic(), self.fleet.lag_seconds
            paused_seconds = self.fleet.paused_seconds[address]
            code = await self.fleet.end(address, signal.SIGTERM)
            seconds = (
                time.monotonic() - started_at - (self.fleet.lag_seconds - lag_before)
            )
            seconds -= self.fleet.paused_seconds[address] - paused_seconds
            if code != 0:
                self.fleet.report_violation(
                    f"{address} ended with {code} after SIGTERM"
                )
            elif seconds > GRACE_SECONDS:
                self.fleet.report_violation(f"{address} took {seconds:.1f} s to stop")
            await asyncio.sleep(RESTART_SECONDS)
            await self.fleet.start_process(address)

    async def pause(self, address, fault):
        self.fleet.pause(address)
        await asyncio.sleep(fault.seconds)
        self.fleet.paused_seconds[address] += fault.seconds
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
        """Reload an invalid settings file, then restore and reload the valid one."""
        address = self.pick(list(self.locks), fault)
        async with self.locks[address]:
            # A process that can't read its settings while it starts may exit.
            if not await self.fleet.is_ready(address):
                return
            path = self.fleet.directory / f"{address}.json"
            good = path.read_text()
            for text in ("{ not json", good):
                path.write_text(text)
                self.fleet.processes[address].send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)

    # The store, for all processes or for some of them.

    async def set_store_mode(self, mode, fault):
        self.fleet.store.mode = mode
        await asyncio.sleep(fault.seconds)
        self.fleet.store.mode = "up"

    async def set_proxy_modes(self, mode, fault):
        """Set the mode of the store proxies of randomly chosen processes."""
        names = list(self.fleet.proxies)
        count = 1 + fault.target % len(names)
        affected = [self.fleet.proxies[n] for n in self.fleet.rng.sample(names, count)]
        for proxy in affected:
            proxy.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        for proxy in affected:
            proxy.set_mode("pass")

    async def store_busy(self, fault):
        await self.set_store_mode("busy", fault)

    async def store_garbled(self, fault):
        await self.set_store_mode("garbled", fault)

    async def store_silent(self, fault):
        await self.set_proxy_modes("silent", fault)

    async def store_delayed(self, fault):
        await self.set_proxy_modes("delayed", fault)

    async def store_reset(self, fault):
        await self.set_proxy_modes("reset", fault)

    async def store_one_way(self, fault):
        await self.set_proxy_modes("one-way", fault)

    async def store_compacted(self, fault):
        self.fleet.store.compact()

    # Hosts.

    async def crash_host(self, fault):
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_unresponsive:
            return
        host.crash()
        host.is_unresponsive = True
        await asyncio.sleep(fault.seconds)
        if self.fleet.hosts[address] is host:
            await self.start_next_host(address)

    async def freeze_host(self, fault):
        host = self.fleet.hosts[self.agent(fault)]
        if host.is_unresponsive:
            return
        host.is_unresponsive = True
        await asyncio.sleep(fault.seconds)
        host.is_unresponsive = False

    async def drain_host(self, fault):
        """Drain a host and check that new flows stop within ``DRAIN_SECONDS``."""
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_unresponsive or host.is_leaving:
            return
        host.is_leaving = True
        was_quiet = self.quiet_seconds > QUIET_SECONDS
        announced_at, lag_before = time.monotonic(), self.fleet.lag_seconds
        self.fleet.publish_host(address, state="draining")
        fault_before = self.last_fault_at
        await asyncio.sleep(DRAIN_SECONDS + 1.0)
        deadline = announced_at + DRAIN_SECONDS + (self.fleet.lag_seconds - lag_before)
        late = [at for at, _ in host.offered if at > deadline]
        if late and was_quiet and self.last_fault_at == fault_before:
            self.fleet.report_violation(
                f"{address} received {len(late)} new flows after its drain limit"
            )
        if self.fleet.hosts[address] is host:
            await self.start_next_host(address)

    async def reuse_address(self, fault):
        """Reassign a host's address to a host of another service."""
        address = self.agent(fault)
        host = self.fleet.hosts[address]
        if host.is_unresponsive or host.is_leaving:
            return
        host.crash()
        host.is_unresponsive = True
        async with self.locks[address]:
            self.fleet.resume(address)
            await self.fleet.end(address, signal.SIGKILL)
            await asyncio.sleep(ADDRESS_REUSE_SECONDS)
            names = list(self.fleet.services.values())
            others = [name for name in names if name != self.fleet.services[address]]
            if names.count(self.fleet.services[address]) > 1 and others:
                self.fleet.services[address] = others[0]
            await self.start_next_host(address)
            await self.fleet.start_process(address)

    async def start_next_host(self, address):
        """Add a new host at an address and remove the previous host's entry later."""
        old = f"servers/{self.fleet.host_key(address)}"
        self.fleet.incarnations[address] += 1
        await self.fleet.add_host(address)
        self.start_task(self.expire_entry(old))

    async def expire_entry(self, key):
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        if key in self.fleet.store.items:
            self.fleet.store.remove(key)

    # Others.

    async def lose_packets(self, fault):
        self.fleet.fabric.loss = 0.1
        await asyncio.sleep(fault.seconds)
        self.fleet.fabric.loss = 0.0

    async def change_split(self, fault):
        """Change the services of the split route; open flows stay on their hosts."""
        self.fleet.version += 3
        self.fleet.split = SPLITS[fault.target % len(SPLITS)]
        self.fleet.publish_routes(self.fleet.version)

    async def restart_without_store(self, fault):
        """Restart a balancer that can't reach the store for the fault's duration."""
        address = self.balancer(fault)
        proxy = self.fleet.proxies[address]
        proxy.set_mode("reset")
        await self.kill(address)
        await asyncio.sleep(fault.seconds)
        proxy.set_mode("pass")

    async def change_routes(self, fault):
        """Replace the probe route by one with the next port."""
        self.fleet.version += 3
        self.fleet.probe_ports = [self.fleet.probe_ports[-1] + 1]
        self.fleet.publish_routes(self.fleet.version)
