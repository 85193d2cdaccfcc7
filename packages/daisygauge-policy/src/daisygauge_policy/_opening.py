"""Which upstream takes the opening packet of a relayed flow.

The agent whose upstream would run the flow's requests decides, because it knows
this load best. An agent without a free slot adds its load to the packet and passes
it on, so that the last agent asked can return it to the least busy one. Agents
needn't exchange load reports for this, however many upstreams a service has.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from msgspec import Struct

MAX_ASKED = 4
"""Agents asked for a free slot. With independent loads, more than four choices gain
little, and each hop adds a network transit."""
MAX_COMPARED = 8
"""Agents asked where utilization decides. A long flow stays where it is opened, so a
less used upstream is worth more hops than a slot that is free at the moment."""
MAX_OPENING_HOPS = 12
"""Largest number of agents that one opening packet is sent to. It bounds the path also
when the agents' lists of candidates differ."""
LOW_UTILIZATION = 0.2
"""Utilization up to which an agent with a free slot takes a flow without asking others:
its requests would seldom wait, and a less used upstream gains them almost nothing."""


class OpeningReason(enum.Enum):
    """Why an opening packet was passed on or refused."""

    BUSY = "busy"
    COMPARED = "compared"
    LEAVING = "leaving"
    SILENT = "silent"
    OTHER_SERVICE = "other-service"
    EVACUATED = "evacuated"
    COLD = "cold"
    FAILING = "failing"
    FULL = "full"
    LEAST_BUSY = "least-busy"
    OVERFLOW = "overflow"
    NO_FREE_SLOT = "no-free-slot"


class TakeOpening(Struct, kw_only=True, frozen=True):
    """The agent's own upstream gets the packet."""


class PassOpening(Struct, kw_only=True, frozen=True):
    """The packet is passed on to another agent.

    :param tried: agents that the target need not ask.
    :param final: True when the target takes the flow even without a free slot.
    """

    target: bytes
    reason: OpeningReason
    tried: tuple[bytes, ...]
    final: bool = False


class RefuseOpening(Struct, kw_only=True, frozen=True):
    """Neither this agent nor another one could take the flow."""

    reason: OpeningReason


OpeningDecision = TakeOpening | PassOpening | RefuseOpening


class BusyAgent(Struct, kw_only=True, frozen=True):
    """An agent that was asked before, with the load that it reported.

    :param load: requests running or expected at its upstream.
    :param utilization: expected utilization of its upstream with the flow, or None.
    """

    agent: bytes
    load: int
    utilization: float | None = None

    def comparison_key(self, other: float | None) -> tuple[float, int]:
        """Return the key by which upstreams are compared; the lower one takes a flow.

        The loads decide between equal utilizations, and where one is unknown because
        an agent of an earlier version has passed the packet on.

        :param other: utilization of the other upstream, or None.
        """
        is_known = self.utilization is not None and other is not None
        return (self.utilization if is_known else 0.0, self.load)


class AskedAgent(BusyAgent, kw_only=True, frozen=True):
    """The agent that decides, with its own load.

    :param inability: why its upstream can't take a flow at all, or None.
    :param reluctance: why its upstream takes a flow only if no other one does, or None.
    :param load: requests running or expected at its upstream.
    :param slots: requests that the upstream runs at a time.
    :param utilization: expected share of slot time in use with the flow, or None if
        the load alone decides.
    """

    slots: int
    inability: OpeningReason | None = None
    reluctance: OpeningReason | None = None

    @property
    def is_willing(self) -> bool:
        """True if the upstream takes flows like any other one."""
        return self.inability is None and self.reluctance is None

    @property
    def has_free_slot(self) -> bool:
        """True if the upstream takes a flow without making it wait."""
        return self.is_willing and self.load < self.slots

    @property
    def is_lightly_used(self) -> bool:
        """True if no other upstream would serve a flow noticeably better."""
        is_low = self.utilization is None or self.utilization <= LOW_UTILIZATION
        return self.has_free_slot and is_low

    def is_less_used(self, other: BusyAgent) -> bool:
        """Return True if this upstream should take a flow before another one."""
        own_key = self.comparison_key(other.utilization)
        return own_key < other.comparison_key(self.utilization)

    def is_more_used(self, other: BusyAgent) -> bool:
        """Return True if another upstream should take a flow before this one."""
        own_key = self.comparison_key(other.utilization)
        return own_key > other.comparison_key(self.utilization)


def decide_opening(
    *,
    own: AskedAgent,
    candidates: Sequence[bytes],
    tried: Sequence[bytes],
    hops: int,
    best: BusyAgent | None,
    final: bool,
) -> OpeningDecision:
    """Decide whether an agent takes, passes on or refuses an opening packet.

    Up to ``MAX_ASKED`` agents, or ``MAX_COMPARED`` by utilization, are asked for a free
    slot at a lightly used upstream. Then the least used one is asked to take the flow.
    If its upstream can't, the packet is passed on until an agent's upstream can take
    the flow. A reluctant agent takes it when no other is left, so that no flow is
    refused while an upstream could run its requests.

    :param candidates: agents of the service in this flow's order.
    :param tried: agents that need not be asked.
    :param hops: agents that have passed the packet on.
    :param best: the least used agent asked before, or None if none could take it.
    :param final: True when the agent takes the flow even without a free slot.
    """
    is_able = own.inability is None
    if own.is_lightly_used or (is_able and final):
        return TakeOpening()
    is_compared = own.has_free_slot
    busy = OpeningReason.COMPARED if is_compared else OpeningReason.BUSY
    reason = own.inability or own.reluctance or busy
    tried = (*tried, own.agent)
    rest = [agent for agent in candidates if agent not in tried]
    max_asked = MAX_ASKED if own.utilization is None else MAX_COMPARED
    if rest and not final and hops + 1 < max_asked:
        return PassOpening(target=rest[0], reason=reason, tried=tried)
    if own.is_willing and (best is None or not own.is_more_used(best)):
        return TakeOpening()
    if best is not None and not final:
        return PassOpening(
            target=best.agent,
            reason=OpeningReason.LEAST_BUSY,
            tried=() if is_able else (own.agent,),
            final=True,
        )
    if rest and hops + 1 < MAX_OPENING_HOPS:
        return PassOpening(target=rest[0], reason=reason, tried=tried, final=True)
    return TakeOpening() if is_able else RefuseOpening(reason=reason)


def choose_candidate(
    candidates: Sequence[bytes],
    *,
    copy: int,
    tried: Sequence[bytes],
    offered: Sequence[bytes],
    avoided: Sequence[bytes] = (),
) -> bytes | None:
    """Return the agent that a balancer asks first.

    A repeated opening packet goes to an agent not asked yet, because the earlier ones
    may be unreachable. If an upstream has answered, its answer was lost on the way,
    and the first repeat goes to the same agent again.

    :param candidates: agents of the service in this flow's order.
    :param copy: times that the client has repeated the packet.
    :param tried: agents asked for earlier copies.
    :param offered: agents that sent an offer, which is their upstream's answer to an
        earlier copy; they may have left the candidates since.
    :param avoided: agents that don't answer; they get a repeated packet only when
        there are no others.
    """
    if copy <= 1 and offered:
        return offered[-1]
    if not candidates:
        return None
    if not tried:
        return candidates[copy % len(candidates)]
    usable = [agent for agent in candidates if agent not in avoided] or candidates
    untried = [agent for agent in usable if agent not in tried]
    return untried[0] if untried else usable[copy % len(usable)]
