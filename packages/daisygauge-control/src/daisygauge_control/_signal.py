"""Waking of every task that waits for a change."""

from __future__ import annotations

import asyncio


class Signal:
    """An event that any number of tasks wait for, again and again."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake every task that waits now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, *, seconds: float | None = None) -> None:
        """Wait for the next change, or until a time has passed."""
        event = self._event
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return
