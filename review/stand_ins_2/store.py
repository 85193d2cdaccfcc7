"""The platform's store: items with revisions, over HTTP/1.1 on loopback."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500
REASONS = {200: "OK", 404: "Not Found", 410: "Gone"}


class Store:
    """Serves ``kv-range`` and ``kv-watch``; everything is written from this process."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 10
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for readers."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def holds(self, key: str, value: dict[str, Any]) -> bool:
        """Return True when an item has this value."""
        item = self.items.get(key)
        return item is not None and item["value"] == _encode(value)

    def put(self, key: str, value: dict[str, Any] | bytes) -> int:
        """Write an item and return the revision, which acknowledges it."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": _encode(value),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._announce(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._announce({"key": key, "revision": self.revision, "removed": True})

    def _announce(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                payload = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        writer.close()

    async def answer(self, target: str) -> tuple[int, dict[str, Any]]:
        """Return the status and body of the answer to a call."""
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/api/kv-range":
            return 200, self.list_items(prefix, query.get("after", ""))
        if parts.path == "/api/kv-watch":
            after = int(query["after"])
            wait_seconds = int(query.get("waitMs", "0")) / 1000
            return 200, await self.watch(prefix, after, wait_seconds)
        return 404, {}

    def list_items(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of items."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "asOf": self.revision,
        }

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> dict[str, Any]:
        """Return the events after a revision, as soon as there is one."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_seconds
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if found or left <= 0.0:
                return {"events": found, "asOf": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


def _encode(value: dict[str, Any] | bytes) -> str:
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    return base64.b64encode(raw).decode()
