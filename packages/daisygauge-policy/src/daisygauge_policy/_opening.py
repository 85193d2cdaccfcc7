"""Which upstream takes the opening packet of a relayed flow.

The decision is made where the load is known best: at the agent whose upstream
would run the flow's requests. An agent without a free slot passes the packet on
and notes its own load in it, so that the last agent asked can send it back to the
least busy one. Load reports need not travel, however many upstreams a service has.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from msgspec import Struct

MAX_ASKED = 4
"""Agents asked for a free slot; with independent loads four choices already leave
little to gain, and each hop takes a crossing."""
MAX_HOPS = 12
"""Agents that one opening packet may visit at all, whatever they believe."""


class OpeningReason(enum.Enum):
    """Why an opening packet went on or was refused."""

    BUSY = "busy"
    LEAVING = "leaving"
    SILENT = "silent"
    OTHER_SERVICE = "other-service"
    FULL = "full"
    LEAST_BUSY = "least-busy"


class TakeOpening(Struct, kw_only=True, frozen=True):
    """The upstream beside the agent gets the packet."""


class PassOpening(Struct, kw_only=True, frozen=True):
    """Another agent is asked.

    :param tried: agents that the target need not ask.
    :param final: True when the target should take the flow if it can at all.
    """

    target: bytes
    reason: OpeningReason
    tried: tuple[bytes, ...]
    final: bool = False


class RefuseOpening(Struct, kw_only=True, frozen=True):
    """No agent is left that could take the flow."""

    reason: OpeningReason


OpeningDecision = TakeOpening | PassOpening | RefuseOpening


class BusyAgent(Struct, kw_only=True, frozen=True):
    """An agent that was asked, with the load that it told.

    :param load: requests running or expected at its upstream.
    """

    agent: bytes
    load: int


class AskedAgent(Struct, kw_only=True, frozen=True):
    """What the asked agent knows of itself.

    :param inability: why its upstream can't take a flow at all, or None.
    :param load: requests running or expected at its upstream.
    :param slots: requests that the upstream runs at a time.
    """

    agent: bytes
    load: int
    slots: int
    inability: OpeningReason | None = None


def decide_opening(
    *,
    own: AskedAgent,
    candidates: Sequence[bytes],
    tried: Sequence[bytes],
    hops: int,
    best: BusyAgent | None,
    final: bool,
) -> OpeningDecision:
    """Decide on an opening packet at one agent.

    First a free slot is looked for at a few agents. Then the least busy of them is
    asked to take the flow; if it can't, whichever agent can takes it.

    :param candidates: agents of the service in this flow's order.
    :param tried: agents that need not be asked.
    :param hops: agents that have passed the packet on.
    :param best: the least busy agent asked before.
    :param final: True when a free slot is no longer looked for.
    """
    is_able = own.inability is None
    if is_able and (final or own.load < own.slots):
        return TakeOpening()
    reason = own.inability or OpeningReason.BUSY
    tried = (*tried, own.agent)
    rest = [agent for agent in candidates if agent not in tried]
    if rest and not final and hops + 1 < MAX_ASKED:
        return PassOpening(target=rest[0], reason=reason, tried=tried)
    if is_able and (best is None or own.load <= best.load):
        return TakeOpening()
    if best is not None and not final:
        return PassOpening(
            target=best.agent,
            reason=OpeningReason.LEAST_BUSY,
            tried=() if is_able else (own.agent,),
            final=True,
        )
    if rest and hops + 1 < MAX_HOPS:
        return PassOpening(target=rest[0], reason=reason, tried=tried, final=True)
    return RefuseOpening(reason=reason)


def choose_candidate(
    candidates: Sequence[bytes],
    *,
    copy: int,
    tried: Sequence[bytes],
    offered: Sequence[bytes],
    avoided: Sequence[bytes] = (),
) -> bytes | None:
    """Return the agent that a balancer asks first.

    A repeated opening packet goes to an agent not asked yet, because the one asked
    first may be dark. Where an upstream has answered, its answer was lost on the
    way, and it is the one asked again.

    :param candidates: agents of the service in this flow's order.
    :param copy: how often the client has repeated the packet.
    :param tried: agents asked for earlier copies.
    :param offered: agents whose upstream has answered an earlier copy.
    :param avoided: agents that don't answer; a repeated packet goes to none of them
        while there are others.
    """
    if not candidates:
        return None
    if copy <= 1 and offered:
        return offered[-1]
    if not tried:
        return candidates[copy % len(candidates)]
    usable = [agent for agent in candidates if agent not in avoided] or candidates
    fresh = [agent for agent in usable if agent not in tried]
    return fresh[0] if fresh else usable[copy % len(usable)]
