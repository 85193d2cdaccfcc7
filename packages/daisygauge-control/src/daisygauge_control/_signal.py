"""Notification of all tasks that wait for a change."""

from __future__ import annotations

import asyncio


class Signal:
    """A repeatable event that any number of tasks can wait for."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake all tasks that are currently waiting."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, *, seconds: float | None = None) -> None:
        """Wait for the next notification, or until the timeout.

        :param seconds: timeout in seconds, or None to wait forever.
        """
        event = self._event
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return
