"""What a balancer does with each kind of packet from a caller."""

from __future__ import annotations

import enum

from daisygauge_wire import PacketKind


class Action(enum.Enum):
    """What the balancer does with a packet."""

    FORWARD = "forward"
    """Send to the agent that the connection ID names."""
    PLACE = "place"
    """Choose an agent for a new flow."""
    DROP = "drop"
    """Count and drop."""


class IdOrigin(enum.Enum):
    """Who chose the destination connection ID of a packet."""

    AGENT = "agent"
    """The ID carries a valid tag under a key in force."""
    CALLER = "caller"


PACKET_TABLE: dict[tuple[IdOrigin, PacketKind], Action] = {
    (IdOrigin.AGENT, PacketKind.FIRST_FLIGHT): Action.FORWARD,
    (IdOrigin.AGENT, PacketKind.OTHER_LONG): Action.FORWARD,
    (IdOrigin.AGENT, PacketKind.SHORT): Action.FORWARD,
    (IdOrigin.CALLER, PacketKind.FIRST_FLIGHT): Action.PLACE,
    (IdOrigin.CALLER, PacketKind.OTHER_LONG): Action.DROP,
    (IdOrigin.CALLER, PacketKind.SHORT): Action.DROP,
}
