"""Which new flows of a split route are taken by another service than the chosen one.

A route may be split between services by weight. The load that this module answers: for
some seconds one of these services is short of slots, as after a loss of power or during
a release, while another one has free slots. By weight alone the requests of the short
service are then late or fail beside idle hosts.

The weights decide first. Only a flow for which none of the asked hosts of the chosen
service has a free slot is offered to the hosts of another service. They take it with a
free slot only, so that their own requests don't wait for it; otherwise it goes back to
the host that it came from.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from ._opening import (
    MAX_ASKED,
    AskedAgent,
    OpeningDecision,
    OpeningReason,
    PassOpening,
    RefuseOpening,
    TakeOpening,
)


class CrossOpening(Struct, kw_only=True, frozen=True):
    """The packet is offered to an agent of the route's other service.

    :param service: tag of that service.
    """

    target: bytes
    service: int


class ReturnOpening(Struct, kw_only=True, frozen=True):
    """The packet goes back to the agent that offered it to this service."""

    target: bytes


OverflowDecision = OpeningDecision | CrossOpening
VisitDecision = TakeOpening | PassOpening | ReturnOpening


class OtherService(Struct, kw_only=True, frozen=True):
    """Another service of a flow's split route.

    :param service: tag of the service.
    :param agents: its agents in the flow's order.
    """

    service: int
    agents: tuple[bytes, ...]


def is_short(decision: OpeningDecision, *, own: AskedAgent) -> bool:
    """Return True when a flow's first request would wait for a slot or isn't taken.

    :param decision: the decision among the agents of the chosen service.
    """
    match decision:
        case TakeOpening():
            return own.load >= own.slots
        case RefuseOpening():
            return True
        case _:
            return False


def decide_overflow(
    decision: OpeningDecision, *, own: AskedAgent, other: OtherService | None
) -> OverflowDecision:
    """Let a flow cross to another service when its own one is short of slots.

    :param decision: the decision among the agents of the chosen service.
    :param other: the service that the flow may cross to, or None.
    """
    if other is None or not other.agents or not is_short(decision, own=own):
        return decision
    return CrossOpening(target=other.agents[0], service=other.service)


def decide_visit(
    *,
    own: AskedAgent,
    candidates: Sequence[bytes],
    tried: Sequence[bytes],
    hops: int,
    home: bytes,
) -> VisitDecision:
    """Decide on an opening packet that another service of its route has offered.

    :param candidates: agents of this agent's service in the flow's order.
    :param tried: agents of this service that need not be asked.
    :param hops: agents of this service that have passed the packet on.
    :param home: the agent that offered the packet; it takes the flow in the end.
    """
    if own.has_free_slot:
        return TakeOpening()
    tried = (*tried, own.agent)
    rest = [agent for agent in candidates if agent not in tried]
    if not rest or hops + 1 >= MAX_ASKED:
        return ReturnOpening(target=home)
    reason = own.inability or own.reluctance or OpeningReason.BUSY
    return PassOpening(target=rest[0], reason=reason, tried=tried)
