"""Stand-in for the platform, which stores records and the instance list.

Daemons only read, on paths under ``/v1`` that follow the Consul API, with blocking
queries. Operators and tests change the content by PUT and DELETE on
``/v1/kv/records`` and ``/stand-in``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import re
from collections.abc import Callable

from absl import flags
from aiohttp import web
from attrs import define, evolve, field

from daisygauge_emulator._server import create_stop_event, run_main, start_server

DEFAULT_WAIT_SECONDS = 30.0
MAX_WAIT_SECONDS = 600.0
MAX_VALUE_BYTES = 1 << 20
RECORDS_PREFIX = "records"
_WAIT = re.compile(r"(?P<amount>\d+(\.\d+)?)(?P<unit>ms|s|m)")
_UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0}


def parse_wait(text: str) -> float:
    """Parse a Consul duration such as ``500ms``, ``30s`` or ``1m``.

    :return: seconds, at most ``MAX_WAIT_SECONDS``.
    :raises ValueError: the text is not a duration.
    """
    match = _WAIT.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration; use a value such as 30s")
    seconds = float(match["amount"]) * _UNIT_SECONDS[match["unit"]]
    return min(seconds, MAX_WAIT_SECONDS)


@define(kw_only=True)
class Table:
    """Entries by key and the index of the last change, as in Consul."""

    entries: dict[str, dict] = field(factory=dict)
    index: int = 1

    def put(self, key: str, entry: dict) -> None:
        """Add or replace an entry."""
        self.index += 1
        self.entries = {**self.entries, key: {**entry, "ModifyIndex": self.index}}

    def delete(self, key: str) -> None:
        """Remove an entry if it exists; the index grows either way."""
        self.index += 1
        self.entries = {k: v for k, v in self.entries.items() if k != key}


@define(kw_only=True)
class Faults:
    """Faults of the platform that a test injects.

    :param down: whether connections of readers are aborted without an answer.
    :param stale: whether reads return the content as of when this fault was set.
    :param list_lag_seconds: delay until a change of the instance list is visible.
    """

    down: bool = False
    stale: bool = False
    list_lag_seconds: float = 0.0


class Platform:
    """Content of the stand-in and its HTTP handlers.

    :ivar snapshots: tables that readers see during the fault ``stale``.
    :ivar reads: number of reads since the start.
    """

    def __init__(self) -> None:
        self.tables = {"records": Table(), "instances": Table()}
        self.snapshots: dict[str, Table] = {}
        self.faults = Faults()
        self.reads = 0
        self.changed = asyncio.Condition()

    def application(self) -> web.Application:
        """Build the HTTP application."""
        application = web.Application(client_max_size=MAX_VALUE_BYTES)
        application.add_routes(
            [
                web.get("/v1/kv/{key:.+}", self.read_records),
                web.put("/v1/kv/{key:.+}", self.put_record),
                web.delete("/v1/kv/{key:.+}", self.delete_record),
                web.get("/v1/health/service/daisygauge", self.read_instances),
                web.put("/stand-in/instances/{id}", self.put_instance),
                web.delete("/stand-in/instances/{id}", self.delete_instance),
                web.put("/stand-in/faults", self.put_faults),
                web.get("/stand-in/statistics", self.read_statistics),
            ]
        )
        return application

    def visible_table(self, name: str) -> Table:
        """Return the table that readers see, a snapshot during the fault ``stale``."""
        return self.snapshots[name] if self.faults.stale else self.tables[name]

    async def notify(self) -> None:
        """Wake every blocking query to check its index again."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_for_change(self, request: web.Request, name: str) -> None:
        """Wait until the table's index exceeds that of the query or its wait ends.

        :raises ValueError: the query has no valid index or wait.
        """
        index = int(request.query.get("index", 0))
        wait = request.query.get("wait")
        seconds = parse_wait(wait) if wait else DEFAULT_WAIT_SECONDS
        if index <= 0:
            return

        def is_done() -> bool:
            return self.faults.down or self.visible_table(name).index > index

        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(is_done)
        except TimeoutError:
            pass

    async def read_table(self, request: web.Request, name: str) -> Table | None:
        """Count a read and return its table, or None while the platform is down."""
        self.reads += 1
        if not self.faults.down:
            try:
                await self.wait_for_change(request, name)
            except ValueError as error:
                raise web.HTTPBadRequest(text=str(error)) from error
        if self.faults.down:
            if request.transport is not None:
                request.transport.abort()
            return None
        return self.visible_table(name)

    async def read_records(self, request: web.Request) -> web.Response:
        """Serve one key, or with ``recurse`` all keys with a prefix."""
        prefix = request.match_info["key"]
        table = await self.read_table(request, "records")
        if table is None:
            return web.Response(status=503)
        recurse = "recurse" in request.query
        found = [
            entry
            for key, entry in sorted(table.entries.items())
            if key == prefix or (recurse and key.startswith(prefix))
        ]
        headers = {"X-Consul-Index": str(table.index)}
        if not found:
            return web.Response(status=404, headers=headers)
        return web.json_response(found, headers=headers)

    async def read_instances(self, request: web.Request) -> web.Response:
        """Serve the instance list, whose changes may lag."""
        table = await self.read_table(request, "instances")
        if table is None:
            return web.Response(status=503)
        entries = [
            {name: value for name, value in entry.items() if name != "ModifyIndex"}
            for _, entry in sorted(table.entries.items())
        ]
        return web.json_response(entries, headers={"X-Consul-Index": str(table.index)})

    async def put_record(self, request: web.Request) -> web.Response:
        """Store a record that an operator publishes."""
        key = request.match_info["key"]
        value = base64.b64encode(await request.read()).decode()
        self.tables["records"].put(key, {"Key": key, "Value": value})
        await self.notify()
        return web.json_response(True)

    async def delete_record(self, request: web.Request) -> web.Response:
        """Delete a record."""
        self.tables["records"].delete(request.match_info["key"])
        await self.notify()
        return web.json_response(True)

    async def put_instance(self, request: web.Request) -> web.Response:
        """Add or replace an entry of the instance list after the list's lag."""
        entry = json.loads(await request.read())
        instance = request.match_info["id"]
        self.schedule_change(lambda: self.tables["instances"].put(instance, entry))
        return web.json_response(True)

    async def delete_instance(self, request: web.Request) -> web.Response:
        """Remove an entry of the instance list after the list's lag."""
        instance = request.match_info["id"]
        self.schedule_change(lambda: self.tables["instances"].delete(instance))
        return web.json_response(True)

    def schedule_change(self, change: Callable[[], None]) -> None:
        """Apply a change of the instance list after ``list_lag_seconds``."""

        def apply() -> None:
            change()
            self.notify_task = asyncio.create_task(self.notify())

        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.list_lag_seconds, apply)

    async def put_faults(self, request: web.Request) -> web.Response:
        """Replace the faults that the body contains; the others stay."""
        changes = json.loads(await request.read())
        try:
            faults = evolve(self.faults, **changes)
        except TypeError as error:
            raise web.HTTPBadRequest(
                text=f"{error}; known: down, stale, list_lag_seconds"
            ) from error
        if faults.stale and not self.faults.stale:
            self.snapshots = {name: evolve(t) for name, t in self.tables.items()}
        self.faults = faults
        await self.notify()
        return web.json_response(True)

    async def read_statistics(self, request: web.Request) -> web.Response:
        """Serve the number of reads and the indices; a blocking query is one read."""
        indices = {name: table.index for name, table in self.tables.items()}
        return web.json_response({"reads": self.reads, "indices": indices})


async def serve() -> None:
    """Serve the platform until SIGTERM or SIGINT."""
    stopped = create_stop_event()
    platform = Platform()
    runner = await start_server(
        platform.application(), host=flags.FLAGS.host, port=flags.FLAGS.port
    )
    await stopped.wait()
    platform.faults.down = True
    await platform.notify()
    await runner.cleanup()


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_string("host", "127.0.0.1", "IPv4 address to listen on.")
    flags.DEFINE_integer("port", 8500, "TCP port to listen on.", 0, 65535)


if __name__ == "__main__":
    define_flags()
    run_main(serve)
