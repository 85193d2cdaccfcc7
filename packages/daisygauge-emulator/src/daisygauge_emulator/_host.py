"""HTTP application of the upstream stand-in."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from attrs import asdict, evolve, frozen

from ._content import MIN_FEED_EVENT_BYTES, answer_body, digest, feed_event
from ._ledger import Ledger

COLD_START_FACTOR = 4.0
MAX_LOAD_REPORTS = 4_096
RETRY_AFTER_SECONDS = 1
DOWNLOAD_CHUNK_BYTES = 16_384


@frozen(kw_only=True)
class Behaviour:
    """Faults of a host that a test injects; the defaults are a healthy host.

    :param slowness: factor by which every run takes longer.
    :param black_hole: whether requests are accepted and never answered.
    :param shed: whether every run is refused with status 503.
    :param cut: whether the connection is aborted after half of the body.
    :param health: ``true`` reports the real state, ``ok`` is always healthy and
        ``failing`` never.
    :param load: ``true`` reports the real load, ``idle`` always none.
    :param report_lag_seconds: age of the load that ``/load`` reports.
    """

    slowness: float = 1.0
    black_hole: bool = False
    shed: bool = False
    cut: bool = False
    health: str = "true"
    load: str = "true"
    report_lag_seconds: float = 0.0


class Host:
    """An upstream host with a fixed number of slots and a bounded queue.

    :param slots: requests that run at the same time.
    :param queue_limit: waiting requests above which new ones get status 503.
    :param cold_start_seconds: time after the start in which runs take longer.
    :param started: Unix time in seconds.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        slots: int,
        queue_limit: int,
        cold_start_seconds: float,
        started: float,
        ledger: Ledger,
    ) -> None:
        self.id = id
        self.service = service
        self.slots = slots
        self.queue_limit = queue_limit
        self.cold_start_seconds = cold_start_seconds
        self.started = started
        self.behaviour = Behaviour()
        self.ledger = ledger
        self.free_slots = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.active = 0
        self.leaving = False
        self.load_reports: deque[tuple[float, int, int]] = deque(
            maxlen=MAX_LOAD_REPORTS
        )

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application()
        application.add_routes(
            [
                web.route("*", "/run", self.run),
                web.get("/download", self.download),
                web.get("/feed", self.feed),
                web.get("/health", self.health),
                web.get("/load", self.load),
                web.get("/ledger", self.read_ledger),
                web.put("/stand-in/behaviour", self.put_behaviour),
            ]
        )
        return application

    def work_factor(self, *, now: float) -> float:
        """Return the factor by which a run that starts now takes longer.

        It falls linearly from ``COLD_START_FACTOR`` to 1 during the cold start.

        :param now: Unix time in seconds.
        """
        age = now - self.started
        if age >= self.cold_start_seconds:
            return self.behaviour.slowness
        cold = (
            COLD_START_FACTOR - (COLD_START_FACTOR - 1) * age / self.cold_start_seconds
        )
        return self.behaviour.slowness * cold

    def answer_headers(self, request: web.Request) -> dict[str, str]:
        """Return the headers that identify the service, this host and the request."""
        return {
            "X-Service": self.service,
            "X-Upstream": self.id,
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
        }

    def record_load(self) -> None:
        """Record the current load, which ``/load`` may report with a lag."""
        self.load_reports.append((time.time(), self.running, self.waiting))

    @asynccontextmanager
    async def track_request(self) -> AsyncIterator[None]:
        """Count a request as active, so that a drain waits for it.

        With the fault ``black_hole`` the request hangs here.
        """
        self.active += 1
        try:
            if self.behaviour.black_hole:
                await asyncio.Event().wait()
            yield
        finally:
            self.active -= 1

    @asynccontextmanager
    async def hold_slot(self) -> AsyncIterator[None]:
        """Wait for a free slot and hold it for the duration of the block."""
        self.waiting += 1
        self.record_load()
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.record_load()
        try:
            yield
        finally:
            self.running -= 1
            self.free_slots.release()
            self.record_load()

    def refuse(self, request: web.Request) -> web.Response:
        """Return status 503 with Retry-After for a request that has not run."""
        headers = self.answer_headers(request)
        headers["Retry-After"] = str(RETRY_AFTER_SECONDS)
        return web.Response(status=503, text="overloaded\n", headers=headers)

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run for ``work_ms`` milliseconds in a slot, then send ``size`` bytes.

        The request is refused when the queue is full or its deadline passed while
        it waited.
        """
        deadline_ms = float(request.headers.get("X-Deadline-Ms", "inf"))
        deadline = time.time() + deadline_ms / 1_000
        await request.read()
        async with self.track_request():
            if self.behaviour.shed or self.waiting > self.queue_limit:
                return self.refuse(request)
            async with self.hold_slot():
                if time.time() >= deadline:
                    return self.refuse(request)
                await self.execute(request)
            return await self.answer(request)

    async def execute(self, request: web.Request) -> None:
        """Sleep for the duration of one run and record it in the ledger."""
        work_seconds = float(request.query.get("work_ms", 5)) / 1_000
        now = time.time()
        run = self.ledger.start(
            request_id=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            service=self.service,
            upstream=self.id,
            now=now,
        )
        outcome = "cancelled"
        try:
            await asyncio.sleep(work_seconds * self.work_factor(now=now))
            outcome = "done"
        finally:
            self.ledger.end(run, outcome=outcome, now=time.time())

    async def answer(
        self, request: web.Request, *, rate: float = float("inf")
    ) -> web.StreamResponse:
        """Send the body of a request's answer.

        :param rate: maximum rate in bytes per second.
        """
        request_id = request.headers.get("X-Request-Id", "")
        body = answer_body(request_id, size=int(request.query.get("size", 100)))
        headers = self.answer_headers(request)
        headers["X-Digest"] = digest(body)
        response = web.StreamResponse(headers=headers)
        response.content_length = len(body)
        await response.prepare(request)
        if self.behaviour.cut:
            await response.write(body[: len(body) // 2])
            request.transport.abort()
            return response
        for start in range(0, len(body), DOWNLOAD_CHUNK_BYTES):
            chunk = body[start : start + DOWNLOAD_CHUNK_BYTES]
            await response.write(chunk)
            await asyncio.sleep(len(chunk) / rate)
        await response.write_eof()
        return response

    async def download(self, request: web.Request) -> web.StreamResponse:
        """Send ``size`` bytes at ``rate`` bytes per second without using a slot."""
        async with self.track_request():
            return await self.answer(
                request, rate=float(request.query.get("rate", "inf"))
            )

    async def feed(self, request: web.Request) -> web.StreamResponse:
        """Send numbered events, starting at ``from``, until the caller disconnects.

        A leaving host ends its feeds after a complete event.
        """
        interval_seconds = float(request.query.get("interval_ms", 100)) / 1_000
        size = max(int(request.query.get("size", 64)), MIN_FEED_EVENT_BYTES)
        number = int(request.query.get("from", 0))
        async with self.track_request():
            response = web.StreamResponse(headers=self.answer_headers(request))
            await response.prepare(request)
            while not self.leaving:
                await response.write(feed_event(number, size=size))
                number += 1
                await asyncio.sleep(interval_seconds)
            await response.write_eof()
            return response

    async def health(self, request: web.Request) -> web.Response:
        """Answer 200 unless the host is leaving; the fault ``health`` overrides it."""
        if self.behaviour.black_hole and self.behaviour.health == "true":
            await asyncio.Event().wait()
        healthy = {"true": not self.leaving, "ok": True, "failing": False}
        return web.Response(status=200 if healthy[self.behaviour.health] else 503)

    async def load(self, request: web.Request) -> web.Response:
        """Report the load, subject to ``report_lag_seconds`` and the fault ``load``."""
        seen_until = time.time() - self.behaviour.report_lag_seconds
        known = [report for report in self.load_reports if report[0] <= seen_until]
        _, running, waiting = known[-1] if known else (0.0, 0, 0)
        if self.behaviour.load == "idle":
            running = waiting = 0
        return web.json_response(
            {"running": running, "slots": self.slots, "waiting": waiting}
        )

    async def read_ledger(self, request: web.Request) -> web.Response:
        """Serve every run since the start."""
        return web.json_response([asdict(run) for run in self.ledger.runs])

    async def put_behaviour(self, request: web.Request) -> web.Response:
        """Replace the fields of the behaviour that the body contains."""
        try:
            self.behaviour = evolve(self.behaviour, **json.loads(await request.read()))
        except TypeError as error:
            known = ", ".join(asdict(Behaviour()))
            raise web.HTTPBadRequest(text=f"{error}; known: {known}") from error
        return web.json_response(asdict(self.behaviour))
