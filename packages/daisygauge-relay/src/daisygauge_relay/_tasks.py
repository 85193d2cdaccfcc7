"""The tasks of one process, and what an unexpected error in one does."""

from __future__ import annotations

import asyncio
import traceback
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from daisygauge_daemon import TASK_FAILED

from . import _events as events
from ._log import QueuedLog

TASK_PAUSE_SECONDS = 0.5
"""Pause before a task that failed begins again."""


class Tasks:
    """Runs the tasks of a process.

    :param failures: counts unexpected errors by the task's name.
    :param failed: called when a task ended that the process can't go on without.
    """

    def __init__(
        self, *, log: QueuedLog, failures: Counter, failed: Callable[[], None]
    ) -> None:
        self.log = log
        self.failures = failures
        self.failed = failed
        self.running: set[asyncio.Task[None]] = set()

    def keep(self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str) -> None:
        """Run a task that an unexpected error doesn't end.

        :param work: begins the task, and begins it again after an error. One message
            that nobody thought of must not cost the flows of the whole process.
        """
        self.spawn(self.repeat(work, name=name), name=name)

    async def repeat(
        self, work: Callable[[], Coroutine[Any, Any, None]], *, name: str
    ) -> None:
        """Run a task until it ends without an error."""
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
            await asyncio.sleep(TASK_PAUSE_SECONDS)

    def spawn(self, work: Coroutine[Any, Any, None], *, name: str) -> None:
        """Run a task that must not end with an error."""
        task = asyncio.create_task(work, name=name)
        self.running.add(task)
        task.add_done_callback(self.finish_task)

    def finish_task(self, task: asyncio.Task[None]) -> None:
        """Account for a task that ended; an unexpected error stops the process."""
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
        self.failed()

    def cancel(self) -> None:
        """Cancel whatever still runs."""
        for task in tuple(self.running):
            task.cancel()
