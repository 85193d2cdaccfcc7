"""Fakes of the daemon's interfaces."""

from __future__ import annotations

import asyncio
import socket

from daisygauge_control import ConfigurationView


def unused_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class FakeConfigurationSource:
    """A configuration source whose view the test sets."""

    def __init__(self, view: ConfigurationView | None = None) -> None:
        self.view = view or ConfigurationView()
        self.ready = view is not None
        self.revision = 0
        self.changed = asyncio.Condition()

    def services(self):
        return []

    async def run(self) -> None:
        await asyncio.Event().wait()

    async def wait_for_change(self, *, after: int) -> ConfigurationView:
        async with self.changed:
            await self.changed.wait_for(lambda: self.view.version > after)
        return self.view

    async def publish(self, view: ConfigurationView) -> None:
        self.view = view
        self.ready = True
        async with self.changed:
            self.changed.notify_all()
