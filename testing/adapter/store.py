"""Fake of the platform's store: an HTTP server on loopback."""

from __future__ import annotations

import asyncio
import base64
import json

from aiohttp import web


class FakeStore:
    """Stores items with revisions and serves reads and watches.

    :ivar mode: ``up``, or a failure: ``busy`` (status 503), ``silent`` (no answer) or
        ``garbled`` (a body that isn't valid JSON).
    :ivar calls: number of calls received.
    :ivar oldest_revision: oldest revision that a watch can start from.
    """

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.oldest_revision = 100
        self.mode = "up"
        self.calls = 0
        self.changed = asyncio.Event()
        self.runner = None

    async def start(self, host, port):
        application = web.Application()
        application.router.add_get("/api/kv-range", self.get_range)
        application.router.add_get("/api/kv-watch", self.get_watch)
        self.runner = web.AppRunner(application, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()

    async def stop(self):
        await self.runner.cleanup()

    def put(self, key, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.record_event(item)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.record_event({"key": key, "revision": self.revision, "removed": True})

    def record_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self):
        self.oldest_revision = self.revision
        self.events.clear()

    async def get_range(self, request):
        failure = await self.fail()
        if failure is not None:
            return failure
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:3]]
        return web.json_response(
            {"items": page, "hasMore": len(keys) > 3, "asOf": self.revision}
        )

    async def get_watch(self, request):
        failure = await self.fail()
        if failure is not None:
            return failure
        after = int(request.query["after"])
        if after >= self.revision:
            await self.wait(int(request.query["waitMs"]) / 1000)
        # The history may have been dropped during the wait, with events of the watch.
        if after < self.oldest_revision:
            return web.json_response({"error": "compacted"}, status=410)
        events = [event for event in self.events if event["revision"] > after]
        return web.json_response({"events": events, "asOf": self.revision})

    async def wait(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            return

    async def fail(self):
        self.calls += 1
        if self.mode == "busy":
            return web.json_response({"error": "busy"}, status=503)
        if self.mode == "garbled":
            return web.Response(body=b"{garbled", content_type="application/json")
        if self.mode == "silent":
            await asyncio.sleep(30)
        return None
