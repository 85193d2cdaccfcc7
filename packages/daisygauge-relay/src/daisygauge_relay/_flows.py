"""Soft state of flows in balancers and agents."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Generic, TypeVar

from msgspec import Struct, field

from daisygauge_policy import SearchBudget

SWEEP_ENTRIES = 64
"""Entries looked at for each new one, so that no sweep delays a packet."""

Entry = TypeVar("Entry")


class SeenOffer(Struct, kw_only=True):
    """An upstream that has answered a flow's opening packet.

    :param sequence: the upstream's first sequence number.
    """

    agent: bytes
    sequence: int


class BalancerFlow(Struct, kw_only=True):
    """What a balancer knows of one flow; losing it costs one search.

    :param service: name of the service that the flow was placed for.
    :param asked: agents that were sent its opening packet.
    :param owner: the agent that holds the flow, once known.
    :param acknowledged: what the client's last packet acknowledges.
    :param seen: monotonic time of the last packet.
    """

    service: str
    seen: float
    asked: list[bytes] = field(default_factory=list)
    offers: list[SeenOffer] = field(default_factory=list)
    owner: bytes | None = None
    acknowledged: int = 0
    budget: SearchBudget | None = None


class FlowStage(enum.Enum):
    """How far a flow is at its agent."""

    ASKED = "asked"
    OFFERED = "offered"
    OPEN = "open"
    CLOSED = "closed"


class AgentFlow(Struct, kw_only=True):
    """What an agent knows of one flow of its upstream.

    :param balancer: who sent its last packet.
    :param began: monotonic time at which the client began to open it.
    :param seen: monotonic time of the last packet in either direction.
    :param sequence: the upstream's first sequence number.
    :param client_next: sequence number after the client's newest byte.
    :param upstream_next: the same of the upstream's.
    :param asked_at: monotonic time at which the running request began, or None.
    :param request: id of the running request, where its bytes told it.
    """

    balancer: bytes
    began: float
    seen: float
    stage: FlowStage = FlowStage.ASKED
    sequence: int = 0
    client_next: int | None = None
    upstream_next: int | None = None
    asked_at: float | None = None
    request: str | None = None
    served: int = 0


class FlowTable(Generic[Entry]):
    """Flows by key, forgetting those that are over a few at a time.

    :param is_over: tells at a monotonic time whether an entry may be forgotten.
    :param forgotten: called with each entry that is dropped.
    """

    def __init__(
        self,
        *,
        is_over: Callable[[Entry, float], bool],
        forgotten: Callable[[bytes, Entry], None] | None = None,
    ) -> None:
        self.entries: dict[bytes, Entry] = {}
        self.is_over = is_over
        self.forgotten = forgotten
        self._due: list[bytes] = []

    def get(self, flow: bytes) -> Entry | None:
        """Return a flow's entry, if there is one."""
        return self.entries.get(flow)

    def add(self, flow: bytes, entry: Entry, *, now: float) -> Entry:
        """Hold a new entry, and drop some old ones."""
        self.entries[flow] = entry
        self.sweep(now=now)
        return entry

    def drop(self, flow: bytes) -> None:
        """Forget a flow."""
        entry = self.entries.pop(flow, None)
        if entry is not None and self.forgotten is not None:
            self.forgotten(flow, entry)

    def sweep(self, *, now: float) -> None:
        """Look at the next few entries and drop those that are over."""
        if not self._due:
            self._due = list(self.entries)
        for flow in self._due[-SWEEP_ENTRIES:]:
            entry = self.entries.get(flow)
            if entry is not None and self.is_over(entry, now):
                self.drop(flow)
        del self._due[-SWEEP_ENTRIES:]

    def __len__(self) -> int:
        return len(self.entries)
