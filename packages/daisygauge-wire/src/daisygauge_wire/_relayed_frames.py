"""Messages that balancers and agents of relayed flows send to each other.

A relayed flow is a connection that the upstream itself terminates. A packed IPv4
address identifies an instance, since all of them use the same UDP port.
"""

from __future__ import annotations

from msgspec import Struct

MAX_TRIED = 14
"""Largest number of agents listed in an ``OpenFrame``, which bounds its size."""
ROUTE_TAG_BITS = 28
"""Size of a route tag; the upper 4 bits of its entry mark it as a tag."""
UTILIZATION_STEP = 0.05
"""Resolution of a utilization on the wire. The 5 spare bits of an ``OpenFrame`` hold
values up to 1.5: above 1 the overload that follows a loss of hosts still compares."""
UTILIZATION_STEPS = 30


def utilization_steps(utilization: float) -> int:
    """Return the number of steps nearest to a utilization."""
    return min(max(round(utilization / UTILIZATION_STEP), 0), UTILIZATION_STEPS)


def utilization_of(steps: int) -> float:
    """Return the utilization of a number of steps."""
    return round(steps * UTILIZATION_STEP, 2)


def round_utilization(utilization: float) -> float:
    """Return a utilization as a frame carries it."""
    return utilization_of(utilization_steps(utilization))


class AgentLoad(Struct, kw_only=True, frozen=True):
    """Load of the upstream beside an agent that could accept a flow.

    :param agent: packed address of the agent.
    :param load: number of requests running or expected there.
    :param utilization: expected utilization with the flow, as ``round_utilization``
        returns it, or None while it is unknown.
    """

    agent: bytes
    load: int
    utilization: float | None = None


class OpenFrame(Struct, kw_only=True, frozen=True):
    """The opening packet of a new flow, passed along agents until one accepts it.

    :param balancer: balancer that sent the packet to the first agent; the agent that
        accepts the flow reports it to this balancer.
    :param service: tag of the service that the flow's route names.
    :param tried: agents to skip, because they were asked before or don't answer.
    :param hops: number of agents that have passed the packet on.
    :param best: least loaded of the agents asked so far, or None.
    :param final: True to accept the flow at the first agent that can, even without a
        free slot.
    :param unanswered: True when an upstream received the packet and has neither
        answered nor returned it. The flow may still open there.
    :param home_service: tag of the service that the flow was placed for, while the
        packet is offered to ``service`` instead; ``best`` is then the agent that
        offered it. None otherwise.
    :param has_crossed: True when another service has had the packet and gave it back.
    :param route_tag: hash of the services among which the balancer chose, in
        ``ROUTE_TAG_BITS`` bits; None when a process of an older version handled the
        packet.
    """

    balancer: bytes
    service: int
    packet: bytes
    tried: tuple[bytes, ...] = ()
    hops: int = 0
    best: AgentLoad | None = None
    final: bool = False
    unanswered: bool = False
    home_service: int | None = None
    has_crossed: bool = False
    route_tag: int | None = None


class ForwardFrame(Struct, kw_only=True, frozen=True):
    """A later packet of a flow that the receiving agent holds."""

    balancer: bytes
    service: int
    packet: bytes


class SearchFrame(Struct, kw_only=True, frozen=True):
    """A packet of a flow whose agent the balancer doesn't know.

    The agent that receives it searches for the agent that holds the flow.
    """

    balancer: bytes
    service: int
    packet: bytes


class QueryFrame(Struct, kw_only=True, frozen=True):
    """Asks another agent whether it holds the flow that a packet belongs to.

    :param balancer: balancer that started the search; the agent that holds the flow
        reports to it.
    """

    balancer: bytes
    service: int
    packet: bytes


class UnknownFlowFrame(Struct, kw_only=True, frozen=True):
    """A forwarded packet that an agent returns because it doesn't hold the flow.

    :param lost: True when the upstream has held the flow and no longer does; False
        when the upstream may never have held it.
    """

    balancer: bytes
    service: int
    packet: bytes
    lost: bool = False


class OfferFrame(Struct, kw_only=True, frozen=True):
    """Reports that an upstream has answered an opening packet.

    :param sequence: the upstream's first sequence number, which the client's next
        packet acknowledges if it chose this upstream.
    :param load: number of requests running or expected at the upstream.
    :param slots: number of requests that the upstream runs at once.
    """

    flow: bytes
    sequence: int
    load: int
    slots: int


class OwnerFrame(Struct, kw_only=True, frozen=True):
    """Reports that the sending agent holds a flow."""

    flow: bytes


class AbsentFrame(Struct, kw_only=True, frozen=True):
    """Reports that the upstream beside the sending agent doesn't hold a flow."""

    flow: bytes


class NotFoundFrame(Struct, kw_only=True, frozen=True):
    """Reports that no agent holds a flow.

    :param agents: number of agents that reported that they don't hold it.
    """

    flow: bytes
    agents: int


Frame = (
    OpenFrame
    | ForwardFrame
    | SearchFrame
    | QueryFrame
    | UnknownFlowFrame
    | OfferFrame
    | OwnerFrame
    | AbsentFrame
    | NotFoundFrame
)
