"""What the HTTP stand-ins share: serving an application until a signal."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

import uvloop
from absl import app
from aiohttp import web

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def quiet_libraries() -> None:
    """Keep the QUIC library's progress messages off the standard error."""
    logging.getLogger("quic").setLevel(logging.WARNING)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def start_server(
    application: web.Application, *, host: str, port: int
) -> web.AppRunner:
    """Serve an application; a handler is cancelled when its client is gone.

    :raises OSError: the address is in use or not local.
    """
    runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def run_main(serve: Callable[[], Awaitable[None]]) -> None:
    """Parse the command line and run a stand-in until it is stopped.

    ``--help`` prints the doc comment of the module that was started.
    """

    def main(argv: list[str]) -> None:
        if len(argv) > 1:
            raise app.UsageError(
                f"unexpected argument {argv[1]!r}; give options as --name=value"
            )
        uvloop.run(serve())

    app.run(main)
