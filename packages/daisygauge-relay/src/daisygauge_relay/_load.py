"""The load of an agent's upstream, by which opening packets are taken or passed on."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ._flows import AgentFlow, FlowStage, FlowTable

EXPECTED_REQUEST_SECONDS = 0.1
"""How long an accepted flow counts as load before its first request, which follows the
opening within two network crossings."""


class UpstreamLoad:
    """Counts the requests that run at the upstream, wait for it or are expected soon.

    :param running: returns the number of requests that run or wait, at a monotonic
        time.
    :ivar expected: accepted flows without a request yet, with the time of acceptance.
    """

    def __init__(
        self, *, flows: FlowTable[AgentFlow], running: Callable[[float], int]
    ) -> None:
        self.flows = flows
        self.running = running
        self.expected: deque[tuple[float, bytes]] = deque()

    def expect(self, flow: bytes, *, now: float) -> None:
        """Count a flow that was accepted now until its first request arrives."""
        self.expected.append((now, flow))

    def count(self, *, now: float) -> int:
        """Return the number of requests that run, wait or are expected soon."""
        while self.expected and now - self.expected[0][0] > EXPECTED_REQUEST_SECONDS:
            self.expected.popleft()
        expected = sum(1 for _, flow in self.expected if self.is_expected(flow))
        return self.running(now) + expected

    def is_expected(self, flow: bytes) -> bool:
        """Return True while a flow's first request has not arrived."""
        entry = self.flows.get(flow)
        return (
            entry is not None
            and entry.client_next is None
            and entry.stage is not FlowStage.CLOSED
        )
