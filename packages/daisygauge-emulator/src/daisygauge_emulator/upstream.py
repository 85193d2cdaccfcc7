"""Stand-in for an upstream: an HTTP/1.1 application with a few slots.

Paths: ``/run`` takes a slot for its work; ``/download`` and ``/feed`` are long;
``/health`` and ``/load`` may lag or lie; ``/ledger`` lists every run.
``PUT /stand-in/behaviour`` changes how the host behaves. SIGTERM drains.
"""

from __future__ import annotations

import asyncio
import time
from typing import IO

from absl import flags

from daisygauge_emulator._host import Host
from daisygauge_emulator._ledger import Ledger
from daisygauge_emulator._server import run_main, start_server, stop_event

DRAIN_POLL_SECONDS = 0.02


def open_ledger(path: str | None) -> IO[str] | None:
    """Open the file that takes the ledger, if one is named."""
    return open(path, "a", encoding="utf-8") if path else None


async def serve() -> None:
    """Serve the host until a signal, then finish what runs."""
    stopped = stop_event()
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
    """Define the command line."""
    flags.DEFINE_string("host", "127.0.0.1", "IPv4 address to listen on.")
    flags.DEFINE_integer("port", 8080, "TCP port to listen on.", 0, 65535)
    flags.DEFINE_string("id", "upstream", "Name that answers carry in X-Upstream.")
    flags.DEFINE_string("service", "service", "Name that answers carry in X-Service.")
    flags.DEFINE_string("ledger", None, "File to which every run is appended.")
    flags.DEFINE_integer("slots", 2, "Runs at the same time.", 1)
    flags.DEFINE_integer(
        "queue_limit", 64, "Waiting runs above which the host sheds with 503.", 0
    )
    flags.DEFINE_float(
        "cold_start_seconds", 0.0, "Time after the start in which runs take longer.", 0
    )


if __name__ == "__main__":
    define_flags()
    run_main(serve)
