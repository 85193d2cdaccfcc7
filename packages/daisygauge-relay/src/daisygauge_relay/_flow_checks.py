"""Idle flows of an earlier incarnation, found before their clients use them.

An upstream that has started again holds no earlier flow. Without a check, a client
learns of this from its next request, which is lost when it may not be repeated. When
the upstream has probably started again, the agent therefore asks it about each open
idle flow: it delivers a copy of the client's latest packet without data. An upstream
takes such a copy of a flow that it holds, as it takes any packet that the network
duplicates, and returns one of a flow that it doesn't hold. Only a returned copy ends a
flow.
"""

from __future__ import annotations

from collections.abc import Callable

from . import _events as events
from ._flows import AgentFlow, FlowStage, FlowTable
from ._packet import SEQUENCE_RANGE, RelayedPacket, format_flow
from ._runtime import RelayRuntime
from ._upstream import Upstream

CHECKS_AT_ONCE = 32
"""Flows of one group of checks. Clients' packets wait while a group is sent."""
CHECK_INTERVAL_SECONDS = 0.02
"""Pause between two groups of checks."""
MAX_RESET_DISTANCE = 65_536
"""Clients accept a reset whose sequence number is within 76,800 of their latest
acknowledgement; the rest allows for packets that are under way."""


class FlowChecks:
    """Asks the upstream about open idle flows when it has probably started again.

    :param deliver: sends a packet to the upstream.
    :ivar waiting: flows that the upstream will be asked about.
    :ivar pending: flows that it has been asked about; False for one that its client has
        opened again since.
    """

    def __init__(
        self,
        *,
        runtime: RelayRuntime,
        upstream: Upstream,
        flows: FlowTable[AgentFlow],
        deliver: Callable[[bytes], None],
    ) -> None:
        self.runtime = runtime
        self.upstream = upstream
        self.flows = flows
        self.deliver = deliver
        self.started_at = upstream.last_start
        self.waiting: list[bytes] = []
        self.pending: dict[bytes, bool] = {}

    def remember(self, flow: AgentFlow, packet: RelayedPacket, data: bytes) -> None:
        """Remember a client's latest packet without data, and what it acknowledges."""
        flow.client_acknowledged = packet.acknowledged
        if not packet.length and not (packet.finishing or packet.resetting):
            flow.latest_empty = data
            flow.empty_acknowledged = packet.acknowledged

    def refresh(self) -> None:
        """Begin checks when the upstream has probably started again."""
        if self.upstream.last_start == self.started_at:
            return
        self.started_at = self.upstream.last_start
        is_scheduled = bool(self.waiting)
        self.pending.clear()
        self.waiting = [
            key for key, flow in self.flows.entries.items() if self.is_candidate(flow)
        ]
        if self.waiting and not is_scheduled:
            self.runtime.call_later(0.0, self.check_some)

    def is_candidate(self, flow: AgentFlow) -> bool:
        """Return True for an idle flow that may belong to an earlier incarnation."""
        if flow.stage is not FlowStage.OPEN or flow.has_ended:
            return False
        if flow.latest_empty is None or flow.request_started_at is not None:
            return False
        behind = (flow.client_acknowledged - flow.empty_acknowledged) % SEQUENCE_RANGE
        return behind <= MAX_RESET_DISTANCE and flow.upstream_at < self.started_at

    def check_some(self) -> None:
        """Ask the upstream about the next flows."""
        group = self.waiting[:CHECKS_AT_ONCE]
        del self.waiting[:CHECKS_AT_ONCE]
        for key in group:
            flow = self.flows.get(key)
            if flow is not None and self.is_candidate(flow):
                self.pending[key] = True
                self.deliver(flow.latest_empty)
        if self.waiting:
            self.runtime.call_later(CHECK_INTERVAL_SECONDS, self.check_some)

    def record_opening(self, key: bytes) -> None:
        """Record that a client opens a flow from the port of its earlier one.

        A copy that comes back later says nothing about the new flow.
        """
        if key in self.pending:
            self.pending[key] = False

    def record_returned(self, packet: RelayedPacket) -> bool:
        """Record a returned packet; return False when it must not end its flow."""
        is_checked = self.pending.pop(packet.flow, None)
        if is_checked is None or packet.length:
            return True
        if is_checked:
            self.runtime.counters.flows_reset_early += 1
            self.runtime.log.write(events.FLOW_CHECKED, flow=format_flow(packet.flow))
        return is_checked

    def record_packet(self, key: bytes) -> None:
        """Record a packet that the upstream sent: it holds the flow."""
        self.pending.pop(key, None)
