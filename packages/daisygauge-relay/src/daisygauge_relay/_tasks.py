"""The tasks of one process, and the handling of unexpected errors in them."""

from __future__ import annotations

import asyncio
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from daisygauge_daemon import TASK_FAILED

from . import _events as events
from ._log import QueuedLog

RESTART_DELAY_SECONDS = 0.5
"""Delay before a failed task is restarted."""


class Tasks:
    """Runs the tasks of a process.

    :param failures: counter of unexpected errors by task name.
    :param on_failure: called when a task fails that the process can't run without.
    """

    def __init__(
        self, *, log: QueuedLog, failures: Counter, on_failure: Callable[[], None]
    ) -> None:
        self.log = log
        self.failures = failures
        self.on_failure = on_failure
        self.running: set[asyncio.Task[None]] = set()

    def supervise(
        self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> None:
        """Run a task and restart it after an unexpected error.

        Otherwise one unforeseen message could end the process with all its flows.

        :param work: starts the task; called again after each error.
        """
        self.spawn(self.run_with_restarts(work, name=name), name=name)

    async def run_with_restarts(
        self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> None:
        """Run a task until it ends without an error, logging each error."""
        while True:
            try:
                return await work()
            except Exception as error:
                self.failures[name] += 1
                self.log.write(
                    events.TASK_RESTARTED,
                    task=name,
                    error=repr(error),
                    traceback="".join(traceback.format_exception(error)),
                )
            await asyncio.sleep(RESTART_DELAY_SECONDS)

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> None:
        """Run a task whose failure stops the process."""
        task = asyncio.create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task; log its error, if any, and stop the process."""
        self.running.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        self.log.write(
            TASK_FAILED,
            task=task.get_name(),
            error=repr(error),
            traceback="".join(traceback.format_exception(error)),
        )
        self.on_failure()

    def cancel(self) -> None:
        """Cancel every running task."""
        for task in tuple(self.running):
            task.cancel()
