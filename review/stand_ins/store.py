"""The platform's store: an HTTP server with items, pages and watches."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Holds items with revisions and answers range reads and watches."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, key: str, value: dict[str, Any]) -> None:
        """Write an item."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": text, "revision": self.revision}
        self.items[key] = item | {"created": created, "lease": 0}
        self.publish(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.publish({"key": key, "revision": self.revision, "removed": True})

    def publish(self, event: dict[str, Any]) -> None:
        """Wake the watches that wait for an event."""
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                body = json.dumps(await self.answer(target)).encode()
                lines = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                size = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write((lines + size).encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    async def answer(self, target: str) -> dict[str, Any]:
        """Return the body of an answer."""
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/api/kv-range":
            return self.read_range(prefix, query.get("after", ""))
        return await self.watch(prefix, int(query["after"]), int(query["waitMs"]))

    def read_range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of items."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return {"items": page, "hasMore": has_more, "asOf": self.revision}

    async def watch(self, prefix: str, after: int, wait_ms: int) -> dict[str, Any]:
        """Return the events after a revision, as soon as there is one."""
        end = asyncio.get_running_loop().time() + wait_ms / 1_000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
