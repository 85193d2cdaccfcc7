"""Events that the agent logs."""

from __future__ import annotations

from .._events import Event, Level

FLIGHT_ACCEPTED = Event(
    number=300,
    name="flight-accepted",
    level=Level.INFO,
    text="A new connection was accepted.",
    fields=("caller", "hops", "connections"),
)
FLIGHT_PASSED_ON = Event(
    number=301,
    name="flight-passed-on",
    level=Level.INFO,
    text="A new connection was passed on to a peer agent.",
    fields=("caller", "peer", "reason", "hops"),
)
FLIGHT_REFUSED = Event(
    number=302,
    name="flight-refused",
    level=Level.WARNING,
    text="A new connection was refused; check for full or leaving hosts.",
    fields=("caller", "reason"),
    limited=True,
)
CONNECTION_ENDED = Event(
    number=303,
    name="connection-ended",
    level=Level.INFO,
    text="A caller's connection ended.",
    fields=("caller", "reason", "cancelled_requests"),
)
DATAGRAM_DROPPED = Event(
    number=304,
    name="agent-datagram-dropped",
    level=Level.WARNING,
    text="An inner datagram was dropped. Possible causes are wrong keys, a reused "
    "address or a foreign sender on the inner network; compare key records and "
    "addresses.",
    fields=("sender", "reason"),
    limited=True,
)
RESET_SENT = Event(
    number=305,
    name="stateless-reset-sent",
    level=Level.INFO,
    text="A packet of a connection that no longer exists was answered with a "
    "stateless reset.",
    fields=("caller", "reason"),
    limited=True,
)
CONNECTION_FAILED = Event(
    number=306,
    name="connection-failed",
    level=Level.ERROR,
    text="A connection failed with an unexpected error and was dropped; other "
    "connections are not affected. Report the error with its traceback.",
    fields=("caller", "error", "traceback"),
    limited=True,
    lines_per_second=1.0,
    burst=10.0,
)
REQUEST_ROUTED = Event(
    number=310,
    name="request-routed",
    level=Level.INFO,
    text="A request was routed to a host, or refused if the target is none.",
    fields=("request", "request_class", "target", "reason"),
)
REQUEST_ENDED = Event(
    number=311,
    name="request-ended",
    level=Level.INFO,
    text="A request ended with the given outcome.",
    fields=("request", "caller", "outcome", "status", "reason", "seconds"),
)
REQUEST_FAILED = Event(
    number=312,
    name="request-failed",
    level=Level.ERROR,
    text="A request failed with an unexpected error and its stream was reset. Report "
    "the error with its traceback.",
    fields=("request", "error", "traceback"),
)
UPSTREAM_STATE = Event(
    number=320,
    name="upstream-state",
    level=Level.WARNING,
    text="The result of the upstream's health check changed; check the upstream if it "
    "is not ready.",
    fields=("ready", "reason"),
)
LEAVING = Event(
    number=321,
    name="agent-leaving",
    level=Level.INFO,
    text="The agent accepts no new work and waits for running requests.",
    fields=("reason", "connections", "requests"),
)
DRAIN_CUT = Event(
    number=322,
    name="drain-cut",
    level=Level.WARNING,
    text="The time limit of the drain passed while connections were open or requests "
    "were running; callers have to open a new connection after GOAWAY.",
    fields=("connections", "requests"),
)

EVENTS = (
    FLIGHT_ACCEPTED,
    FLIGHT_PASSED_ON,
    FLIGHT_REFUSED,
    CONNECTION_ENDED,
    DATAGRAM_DROPPED,
    RESET_SENT,
    CONNECTION_FAILED,
    REQUEST_ROUTED,
    REQUEST_ENDED,
    REQUEST_FAILED,
    UPSTREAM_STATE,
    LEAVING,
    DRAIN_CUT,
)
