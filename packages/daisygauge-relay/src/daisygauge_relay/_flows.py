"""Soft state of flows at balancers and agents."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Struct, field

from daisygauge_policy import SearchBudget

SWEEP_ENTRIES = 64
"""Number of entries checked at each insertion; a full sweep would delay packets."""

Entry = TypeVar("Entry")


class ReceivedOffer(Struct, kw_only=True):
    """An upstream that has answered a flow's opening packet.

    :param sequence: the upstream's first sequence number.
    """

    agent: bytes
    sequence: int


class BalancerFlow(Struct, kw_only=True):
    """State of one flow at a balancer; a search restores it after a loss.

    :param service: name of the service that the flow was placed for.
    :param asked: agents that its opening packet was sent to.
    :param offers: answers of upstreams to its opening packet.
    :param owner: the agent that holds the flow, or None while that is unknown.
    :param acknowledged: acknowledgement number of the client's latest packet.
    :param last_packet_at: monotonic time of the last packet.
    :param budget: limit on searches, set by the first search.
    """

    service: str
    last_packet_at: float
    asked: list[bytes] = field(default_factory=list)
    offers: list[ReceivedOffer] = field(default_factory=list)
    owner: bytes | None = None
    acknowledged: int = 0
    budget: SearchBudget | None = None


class FlowStage(enum.Enum):
    """Stage of a flow at its agent.

    ASKED: the upstream was sent the opening packet and has not answered.
    OFFERED: the upstream has answered; the client has not chosen yet.
    OPEN: the client has chosen this upstream.
    CLOSED: either end has finished or reset the flow.
    """

    ASKED = "asked"
    OFFERED = "offered"
    OPEN = "open"
    CLOSED = "closed"


class AgentFlow(Struct, kw_only=True):
    """State of one flow at an agent.

    :param balancer: the balancer that sent its last packet.
    :param opening_at: monotonic time at which the client sent the first opening packet.
    :param last_packet_at: monotonic time of the last packet in either direction.
    :param sequence: the upstream's first sequence number.
    :param client_next: sequence number after the client's newest byte, or None.
    :param upstream_at: monotonic time of the upstream's last packet.
    :param client_acknowledged: acknowledgement number of the client's latest packet.
    :param latest_empty: the client's latest packet without data, or None.
    :param empty_acknowledged: acknowledgement number of that packet.
    :param upstream_next: sequence number after the upstream's newest byte, or None.
    :param request_started_at: monotonic time at which the current request arrived, or
        None.
    :param request_id: id of the current request, if its packet holds one.
    :param answered: number of answered requests.
    :param is_answer_due: True while an answer is under way that the upstream's FIN has
        overtaken.
    :param has_ended: True once the upstream has ended the flow or the client has reset
        it: later data is no request. After the client's FIN the answer still comes.
    """

    balancer: bytes
    opening_at: float
    last_packet_at: float
    stage: FlowStage = FlowStage.ASKED
    sequence: int = 0
    client_next: int | None = None
    upstream_next: int | None = None
    request_started_at: float | None = None
    request_id: str | None = None
    answered: int = 0
    is_answer_due: bool = False
    has_ended: bool = False
    upstream_at: float = float("-inf")
    client_acknowledged: int = 0
    latest_empty: bytes | None = None
    empty_acknowledged: int = 0


class FlowTable(Generic[Entry]):
    """Flows by key; each insertion removes some expired ones.

    :param is_expired: returns True when an entry has expired at a monotonic time.
    :param on_removed: called with each entry after its removal.
    """

    def __init__(
        self,
        *,
        is_expired: Callable[[Entry, float], bool],
        on_removed: Callable[[bytes, Entry], None] | None = None,
    ) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.is_expired = is_expired
        self.on_removed = on_removed
        self._unswept: list[bytes] = []

    def get(self, flow: bytes) -> Entry | None:
        """Return a flow's entry, or None."""
        return self.entries.get(flow)

    def add(self, flow: bytes, entry: Entry, *, now: float) -> Entry:
        """Add an entry, and remove some expired ones."""
        self.entries[flow] = entry
        self.sweep(now=now)
        return entry

    def drop(self, flow: bytes) -> None:
        """Remove a flow's entry, if there is one."""
        entry = self.entries.pop(flow, None)
        if entry is not None and self.on_removed is not None:
            self.on_removed(flow, entry)

    def sweep(self, *, now: float) -> None:
        """Check the next ``SWEEP_ENTRIES`` entries and remove the expired ones."""
        if not self._unswept:
            self._unswept = list(self.entries)
        for flow in self._unswept[-SWEEP_ENTRIES:]:
            entry = self.entries.get(flow)
            if entry is not None and self.is_expired(entry, now):
                self.drop(flow)
        del self._unswept[-SWEEP_ENTRIES:]

    def __len__(self) -> int:
        return len(self.entries)
