"""Functions that the HTTP stand-ins share: startup, signals and logging."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Awaitable, Callable

import uvloop
from absl import app
from aiohttp import web

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def limit_library_logging() -> None:
    """Keep the QUIC library's progress messages, below WARNING, off stderr."""
    logging.getLogger("quic").setLevel(logging.WARNING)


def create_stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    return stopped


async def start_server(
    application: web.Application, *, host: str, port: int
) -> web.AppRunner:
    """Start an HTTP server; a handler is cancelled when its client disconnects.

    :raises OSError: the address is in use or not local.
    """
    runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


def run_main(serve: Callable[[], Awaitable[None]]) -> None:
    """Parse the command line and run a stand-in until it is stopped.

    ``--help`` prints the docstring of the module that was started.
    """

    def main(argv: list[str]) -> None:
        if len(argv) > 1:
            raise app.UsageError(
                f"unexpected argument {argv[1]!r}; give options as --name=value"
            )
        uvloop.run(serve())

    app.run(main)
