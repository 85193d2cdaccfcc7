"""Stand-in for an upstream: an HTTP/1.1 application with a few slots.

Paths: ``/run`` occupies a slot; ``/download`` and ``/feed`` are long answers without
a slot; ``/health`` and ``/load`` report the state, possibly late or wrong; ``/ledger``
lists every run. ``PUT /stand-in/behaviour`` injects faults. SIGTERM drains the host.
"""

from __future__ import annotations

import asyncio
import time
from typing import IO

from absl import flags

from daisygauge_emulator._host import Host
from daisygauge_emulator._ledger import Ledger
from daisygauge_emulator._server import create_stop_event, run_main, start_server

DRAIN_POLL_SECONDS = 0.02


def open_ledger(path: str | None) -> IO[str] | None:
    """Open the ledger file for appending, if a path is given."""
    return open(path, "a", encoding="utf-8") if path else None


async def serve() -> None:
    """Serve the host until SIGTERM or SIGINT, then drain active requests."""
    stopped = create_stop_event()
    values = flags.FLAGS
    host = Host(
        id=values.id,
        service=values.service,
        slots=values.slots,
        queue_limit=values.queue_limit,
        cold_start_seconds=values.cold_start_seconds,
        started=time.time(),
        ledger=Ledger(file=open_ledger(values.ledger)),
    )
    runner = await start_server(host.application(), host=values.host, port=values.port)
    await stopped.wait()
    host.leaving = True
    while host.active:
        await asyncio.sleep(DRAIN_POLL_SECONDS)
    await runner.cleanup()


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_string("host", "127.0.0.1", "IPv4 address to listen on.")
    flags.DEFINE_integer("port", 8080, "TCP port to listen on.", 0, 65535)
    flags.DEFINE_string("id", "upstream", "Value of the header X-Upstream in answers.")
    flags.DEFINE_string(
        "service", "service", "Value of the header X-Service in answers."
    )
    flags.DEFINE_string("ledger", None, "File to which every run is appended.")
    flags.DEFINE_integer("slots", 2, "Number of requests that run at the same time.", 1)
    flags.DEFINE_integer(
        "queue_limit", 64, "Waiting requests above which new ones get status 503.", 0
    )
    flags.DEFINE_float(
        "cold_start_seconds",
        0.0,
        "Seconds after the start during which runs take longer.",
        0,
    )


if __name__ == "__main__":
    define_flags()
    run_main(serve)
