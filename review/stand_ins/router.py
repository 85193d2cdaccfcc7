"""The platform's routers: readiness checks and the choice of a balancer."""

from __future__ import annotations

import asyncio
import zlib

CHECK_SECONDS = 0.5
MISSES = 2


class Router:
    """Selects balancers by a steady hash over those in rotation."""

    def __init__(
        self, *, balancers: list[str], datagram_port: int, ready_port: int
    ) -> None:
        self.balancers = balancers
        self.datagram_port = datagram_port
        self.ready_port = ready_port
        self.misses = dict.fromkeys(balancers, 0)

    async def run(self) -> None:
        """Check readiness twice a second until cancelled."""
        while True:
            await asyncio.gather(*map(self.check, self.balancers))
            await asyncio.sleep(CHECK_SECONDS)

    async def check(self, balancer: str) -> None:
        """Check one balancer."""
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                is_ready = await self.ask(balancer)
        except (OSError, TimeoutError):
            is_ready = False
        self.misses[balancer] = 0 if is_ready else self.misses[balancer] + 1

    async def ask(self, balancer: str) -> bool:
        """Return whether a balancer reports ready."""
        reader, writer = await asyncio.open_connection(balancer, self.ready_port)
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    def in_rotation(self) -> list[str]:
        """Return the balancers in rotation; all of them when too few are."""
        usable = [name for name in self.balancers if self.misses[name] < MISSES]
        return usable if 2 * len(usable) >= len(self.balancers) else self.balancers

    def choose(self, ends: tuple[str, int, str, int]) -> tuple[str, int]:
        """Return the address for a packet with these ends."""
        key = repr(ends).encode()
        balancer = max(
            self.in_rotation(), key=lambda name: zlib.crc32(key + name.encode())
        )
        return balancer, self.datagram_port
