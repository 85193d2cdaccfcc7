"""What operators and tests do to the platform, the fabric and upstreams."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import aiohttp

from daisygauge_records import Endpoint

from ._deployment import UPSTREAM_PORT, AddressPlan
from ._documents import Document
from ._process import FleetError, ManagedProcess

REQUEST_TIMEOUT_SECONDS = 5.0
READY_TIMEOUT_SECONDS = 20.0
READY_POLL_SECONDS = 0.05


class StandInClient:
    """A client of the stand-ins' control paths."""

    def __init__(self, addresses: AddressPlan) -> None:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.platform = f"http://{addresses.platform}"
        self.fabric = f"http://{addresses.fabric}"

    async def close(self) -> None:
        """Close the client."""
        await self.session.close()

    async def put(self, url: str, document: Any) -> Any:
        """PUT a JSON document to a stand-in.

        :raises FleetError: the stand-in refused it.
        """
        async with self.session.put(url, json=document) as answer:
            if answer.status != 200:
                raise FleetError(f"PUT {url}: {answer.status} {await answer.text()}")
            return await answer.json()

    async def get(self, url: str) -> Any:
        """GET a JSON document from a stand-in."""
        async with self.session.get(url) as answer:
            return await answer.json()

    async def publish(self, record: Document) -> None:
        """Publish a record on the platform, as an operator."""
        path = f"records/{record['kind']}/{record['id']}"
        await self.put(f"{self.platform}/v1/kv/{path}", record)

    async def register_instance(self, entry: Document) -> None:
        """Put an entry on the platform's instance list."""
        id = entry["Service"]["ID"]
        await self.put(f"{self.platform}/stand-in/instances/{id}", entry)

    async def deregister_instance(self, id: str) -> None:
        """Take an instance off the platform's list."""
        url = f"{self.platform}/stand-in/instances/{id}"
        async with self.session.delete(url) as answer:
            await answer.read()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Change the faults ``down``, ``stale`` and ``list_lag_seconds``."""
        await self.put(f"{self.platform}/stand-in/faults", faults)

    async def platform_reads(self) -> int:
        """Return the number of reads that the platform has counted."""
        statistics = await self.get(f"{self.platform}/stand-in/statistics")
        return statistics["reads"]

    async def set_services(self, services: dict[str, Endpoint]) -> None:
        """Tell the fabric its service addresses."""
        body = [
            {"id": id, "host": address.host, "port": address.port}
            for id, address in services.items()
        ]
        await self.put(f"{self.fabric}/services", body)

    async def set_balancers(self, processes: list[ManagedProcess]) -> None:
        """Tell the fabric which balancers there are."""
        body = [
            {"id": process.id, "host": process.host, "ready_url": process.ready_url}
            for process in processes
        ]
        await self.put(f"{self.fabric}/balancers", body)

    async def set_fabric_faults(self, **faults: Any) -> None:
        """Replace the fabric's faults; none given ends them."""
        await self.put(f"{self.fabric}/faults", faults)

    async def fabric_state(self) -> Document:
        """Return the fabric's live balancers, callers and counters."""
        return await self.get(f"{self.fabric}/state")

    async def silence_callers(self, **which: Any) -> int:
        """Let the fabric silence present callers; their number."""
        answer = await self.put(f"{self.fabric}/forget", which)
        return answer["forgotten"]

    async def set_behaviour(self, host: str, **behaviour: Any) -> None:
        """Change how the upstream on an address behaves."""
        url = f"http://{host}:{UPSTREAM_PORT}/stand-in/behaviour"
        await self.put(url, behaviour)

    async def wait_url(self, url: str, process: ManagedProcess) -> None:
        """Wait until a URL answers 200.

        :raises FleetError: the process ended first, or it took too long.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if not process.running:
                raise FleetError(
                    f"{process.id} ended early; its last lines:\n{process.log_tail()}"
                )
            if await self.is_ok(url):
                return
            await asyncio.sleep(READY_POLL_SECONDS)
        raise FleetError(
            f"{process.id} is not ready after {READY_TIMEOUT_SECONDS:.0f} s; "
            f"its last lines:\n{process.log_tail()}"
        )

    async def is_ok(self, url: str) -> bool:
        """Tell whether a URL answers 200 now."""
        try:
            async with self.session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_live(self, ids: set[str]) -> None:
        """Wait until the fabric uses exactly these balancers.

        :raises FleetError: it took too long.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        live: set[str] = set()
        while time.monotonic() < deadline:
            live = set((await self.fabric_state())["live"])
            if live == ids:
                return
            await asyncio.sleep(READY_POLL_SECONDS)
        raise FleetError(f"the fabric uses {sorted(live)} instead of {sorted(ids)}")
