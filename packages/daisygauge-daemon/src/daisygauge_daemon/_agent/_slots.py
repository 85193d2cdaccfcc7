"""The upstream's slots and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ._model import NotRun, Request
from ._node import AgentNode


class RefusedError(Exception):
    """The request gets no slot.

    :param outcome: what the caller is told.
    """

    def __init__(self, outcome: NotRun) -> None:
        super().__init__(outcome.reason)
        self.outcome = outcome


class Slots:
    """Lets as many short requests run as the upstream has slots.

    Long answers are only counted: they are bounded by connections.
    """

    def __init__(self, *, node: AgentNode) -> None:
        self.node = node
        self.running = 0
        self.streaming = 0
        self.queue: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self.queue)

    @asynccontextmanager
    async def hold(self, request: Request) -> AsyncIterator[None]:
        """Occupy a slot for a short request.

        :raises RefusedError: the queue is full or the deadline passes first.
        """
        if request.request_class.streaming:
            self.streaming += 1
            try:
                yield
            finally:
                self.streaming -= 1
            return
        await self.wait_turn(request)
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self.start_next()

    async def wait_turn(self, request: Request) -> None:
        """Wait until a slot is free."""
        upstream = self.node.upstream
        if self.running + self.waiting < upstream.slots:
            return
        service = self.node.service
        if self.waiting >= service.queue.capacity_per_slot * upstream.slots:
            raise RefusedError(NotRun(reason="queue-full"))
        turn = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            async with asyncio.timeout(request.deadline - self.node.now()):
                await turn
        except TimeoutError:
            raise RefusedError(NotRun(reason="deadline")) from None
        finally:
            if turn in self.queue:
                self.queue.remove(turn)

    def start_next(self) -> None:
        """Give a free slot to the request that has waited longest."""
        while self.queue and self.running < self.node.upstream.slots:
            turn = self.queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
