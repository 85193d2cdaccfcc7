"""Events of the agent."""

from __future__ import annotations

from .._events import Event, Level

FLIGHT_ACCEPTED = Event(
    number=300,
    name="flight-accepted",
    level=Level.INFO,
    text="A new connection is served here.",
    fields=("caller", "hops", "connections"),
)
FLIGHT_PASSED_ON = Event(
    number=301,
    name="flight-passed-on",
    level=Level.INFO,
    text="A new connection was offered to a peer agent.",
    fields=("caller", "peer", "reason", "hops"),
)
FLIGHT_REFUSED = Event(
    number=302,
    name="flight-refused",
    level=Level.WARNING,
    text="A new connection was refused; look for full or leaving hosts.",
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
    text="An inner datagram was refused. Wrong keys, a reused address or an "
    "outsider on the inner network; compare key records and addresses.",
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
    text="A connection met an unexpected error and was dropped; the agent goes on. "
    "Report the error with its traceback.",
    fields=("caller", "error", "traceback"),
    limited=True,
    lines_per_second=1.0,
    burst=10.0,
)
REQUEST_ROUTED = Event(
    number=310,
    name="request-routed",
    level=Level.INFO,
    text="It was decided where a request runs.",
    fields=("request", "request_class", "target", "reason"),
)
REQUEST_ENDED = Event(
    number=311,
    name="request-ended",
    level=Level.INFO,
    text="A request has its outcome.",
    fields=("request", "caller", "outcome", "status", "reason", "seconds"),
)
REQUEST_FAILED = Event(
    number=312,
    name="request-failed",
    level=Level.ERROR,
    text="A request met an unexpected error; its stream was reset. Report the "
    "error with its traceback.",
    fields=("request", "error", "traceback"),
)
UPSTREAM_STATE = Event(
    number=320,
    name="upstream-state",
    level=Level.WARNING,
    text="The upstream's health check changed; look at the upstream when it says "
    "not ready.",
    fields=("ready", "reason"),
)
LEAVING = Event(
    number=321,
    name="agent-leaving",
    level=Level.INFO,
    text="The agent takes no new work and waits for what runs.",
    fields=("reason", "connections", "requests"),
)
DRAIN_CUT = Event(
    number=322,
    name="drain-cut",
    level=Level.WARNING,
    text="The drain limit passed with connections open; callers that stay have to "
    "open a new connection after GOAWAY.",
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
