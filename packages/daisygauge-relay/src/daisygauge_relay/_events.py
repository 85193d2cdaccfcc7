"""Events of balancers and agents of relayed flows.

Events that a client or an upstream can cause at any rate are rate-limited; the next
line reports how many were suppressed.
"""

from __future__ import annotations

from daisygauge_daemon import Event, Level

KNOWN_STATE_FIELDS = ("version", "as_of", "age_seconds")
"""Fields of the state that a decision was based on: configuration version, revision of
the directory, and the directory's age in seconds."""

_FLOW_LINES_PER_SECOND = 40.0
_FLOW_LINES_BURST = 200.0


def _flow_event(
    number: int,
    name: str,
    text: str,
    fields: tuple[str, ...],
    level: Level = Level.INFO,
) -> Event:
    return Event(
        number=number,
        name=name,
        level=level,
        text=text,
        fields=fields,
        limited=True,
        lines_per_second=_FLOW_LINES_PER_SECOND,
        burst=_FLOW_LINES_BURST,
    )


OPENING_PLACED = _flow_event(
    600,
    "opening-placed",
    "An opening packet was sent to an agent.",
    ("flow", "service", "agent", "copy", "candidates", "suspects", *KNOWN_STATE_FIELDS),
)
OPENING_REFUSED = _flow_event(
    601,
    "opening-refused",
    "A new flow was refused with a reset; its requests have not run.",
    ("flow", "reason", *KNOWN_STATE_FIELDS),
    Level.WARNING,
)
OPENING_UNCERTAIN = _flow_event(
    616,
    "opening-uncertain",
    "No upstream takes a new flow; one that was asked earlier may still answer, so the "
    "flow isn't reset.",
    ("flow", "reason", *KNOWN_STATE_FIELDS),
    Level.WARNING,
)
FLOW_SEARCHED = _flow_event(
    602,
    "flow-searched",
    "A packet of a flow whose agent isn't known was sent to an agent, which queries "
    "the others.",
    ("flow", "service", "agent", "agents", *KNOWN_STATE_FIELDS),
)
FLOW_FOUND = _flow_event(
    603, "flow-found", "A search found the agent that holds a flow.", ("flow", "agent")
)
OPENING_TAKEN = _flow_event(
    604,
    "opening-taken",
    "An opening packet was delivered to the upstream.",
    ("flow", "load", "slots", "utilization", "hops", *KNOWN_STATE_FIELDS),
)
OPENING_PASSED = _flow_event(
    605,
    "opening-passed",
    "An opening packet was passed on to another agent.",
    ("flow", "reason", "target", "load", "utilization", "hops", *KNOWN_STATE_FIELDS),
)
OPENING_OVERFLOWED = _flow_event(
    629,
    "opening-overflowed",
    "An upstream with a free slot takes a flow of a split route whose own service had "
    "none.",
    ("flow", "home", "home_load", "load", "slots", *KNOWN_STATE_FIELDS),
)
OPENING_EARLY = _flow_event(
    632,
    "opening-early",
    "An opening packet was dropped: this agent has not read the directory yet, so it "
    "may not know of an evacuation. The client's next copy goes to another agent.",
    ("flow", "copy", *KNOWN_STATE_FIELDS),
)
REQUEST_BEGUN = _flow_event(
    606,
    "request-begun",
    "A request arrived; it is delivered when the scheduler dispatches it.",
    ("flow", "request", "running", "waiting"),
)
REQUEST_ANSWERED = _flow_event(
    607,
    "request-answered",
    "The upstream began to answer a request.",
    ("flow", "request", "seconds", "running", "waiting"),
)
REQUEST_EXPIRED = _flow_event(
    608,
    "request-expired",
    "A waiting request was dropped because its client has given up; it has not run.",
    ("flow", "service_seconds", "running", "waiting"),
    Level.WARNING,
)
FLOW_TRIED = _flow_event(
    609,
    "flow-tried",
    "A packet of an unknown flow was delivered to the upstream, which accepts or "
    "returns it.",
    ("flow", "balancer", "carried"),
)
FLOW_RETURNED = _flow_event(
    613,
    "flow-returned",
    "The upstream returned a packet because it doesn't hold the flow.",
    ("flow", "was_known"),
)
FLOW_CLAIMED = _flow_event(
    614,
    "flow-claimed",
    "The upstream holds a flow that this agent didn't know.",
    ("flow", "balancer"),
)
FLOW_LOST = _flow_event(
    615,
    "flow-lost",
    "A flow was reset because no upstream holds it; 'reason' says how this is known.",
    ("flow", "reason", "absent", *KNOWN_STATE_FIELDS),
    Level.WARNING,
)
HOST_COLD = Event(
    number=640,
    name="host-cold",
    level=Level.INFO,
    text="The host counts as cold and gets a limited number of opening packets a "
    "second; 'reason' says how this is known.",
    fields=("reason", "incarnation", "seconds", "per_second", *KNOWN_STATE_FIELDS),
)
PACE_CHANGED = Event(
    number=641,
    name="pace-changed",
    level=Level.INFO,
    text="The limit on new flows of a host that has started or recovered begins or "
    "ends; 'reason' says why.",
    fields=("reason", "flows_per_second", "settled_seconds", "ratio"),
)
FLOW_CHECKED = _flow_event(
    642,
    "flow-checked",
    "The upstream has started again and doesn't hold an idle flow, which is reset "
    "before its client uses it.",
    ("flow",),
)
UPSTREAM_SILENT = Event(
    number=610,
    name="upstream-silent",
    level=Level.WARNING,
    text="The upstream left an opening packet unanswered; new flows go to others until "
    "it sends a packet. Check that it runs.",
    fields=("upstream", "heard_seconds"),
)
UPSTREAM_HEARD = Event(
    number=611,
    name="upstream-heard",
    level=Level.INFO,
    text="A silent upstream sends packets again.",
    fields=("silent_seconds",),
)
SUSPECTS_CHANGED = Event(
    number=612,
    name="agents-suspected",
    level=Level.WARNING,
    text="The list of suspected agents changed. Agents that leave opening packets "
    "unanswered are tried last; check that they run and can be reached.",
    fields=("suspects", *KNOWN_STATE_FIELDS),
    limited=True,
)
DIRECTORY_CHANGED = Event(
    number=620,
    name="directory-moved",
    level=Level.INFO,
    text="Hosts or routes changed.",
    fields=("source", "as_of", "source_age_seconds", "version", "changes"),
)
HOST_EXPIRED = Event(
    number=621,
    name="host-gone",
    level=Level.INFO,
    text="A host whose entry expired during a platform outage has not returned.",
    fields=("host",),
)
SOURCE_LOST = Event(
    number=622,
    name="source-lost",
    level=Level.WARNING,
    text="A source of configuration gives no usable answer; the last valid state stays "
    "in force and other sources are queried.",
    fields=("source", "reason", "retry_seconds"),
    limited=True,
)
SOURCE_REGAINED = Event(
    number=623,
    name="source-regained",
    level=Level.INFO,
    text="A source of configuration answers again.",
    fields=("source", "failures"),
    limited=True,
)
EVACUATION_SEEN = Event(
    number=630,
    name="evacuation-seen",
    level=Level.WARNING,
    text="New flows no longer go to hosts of a failure domain; 'hosts' counts those "
    "left for each service. A service without any refuses its new flows.",
    fields=("failure_domain", "revision", "hosts"),
)
EVACUATION_ENDED = Event(
    number=631,
    name="evacuation-ended",
    level=Level.INFO,
    text="New flows go to hosts of a failure domain again.",
    fields=("failure_domain", "revision", "seconds", "hosts"),
)
SETTINGS_RELOADED = Event(
    number=624,
    name="settings-reloaded",
    level=Level.INFO,
    text="The settings file was read again; addresses and ports take effect at the "
    "next start.",
    fields=("changed",),
)
SETTINGS_REFUSED = Event(
    number=625,
    name="settings-refused",
    level=Level.ERROR,
    text="The changed settings can't be used; the last valid ones stay in force.",
    fields=("error",),
)
LINES_SUPPRESSED = Event(
    number=626,
    name="lines-suppressed",
    level=Level.WARNING,
    text="Lines were dropped because the reader of standard output is too slow.",
    fields=("lines",),
)

DATAGRAM_FAILED = Event(
    number=627,
    name="datagram-failed",
    level=Level.ERROR,
    text="An unexpected error occurred in handling a datagram or a peer's call, which "
    "was dropped. Report the error with its traceback.",
    fields=("error", "traceback"),
    limited=True,
    lines_per_second=1.0,
    burst=10.0,
)

TASK_RESTARTED = Event(
    number=628,
    name="task-restarted",
    level=Level.ERROR,
    text="A task ended with an unexpected error and is restarted; the process "
    "continues. Report the error with its traceback.",
    fields=("task", "error", "traceback"),
    limited=True,
    lines_per_second=1.0,
    burst=10.0,
)

OUTLIER_EJECTED = Event(
    number=670,
    name="outlier-ejected",
    level=Level.WARNING,
    text="The upstream fails a much larger share of its requests than is usual. It "
    "gets few new flows until its responses are good; open flows stay. Check its log.",
    fields=("failed_share", "usual_share", "repeated", "hosts"),
    limited=True,
)
OUTLIER_RETURNED = Event(
    number=671,
    name="outlier-returned",
    level=Level.INFO,
    text="An upstream that was ejected for failed requests gets its full share of new "
    "flows again.",
    fields=("seconds",),
    limited=True,
)
OUTLIERS_COMMON = Event(
    number=672,
    name="outliers-common",
    level=Level.WARNING,
    text="The upstream fails many requests and isn't ejected, or no longer, since too "
    "many of its service's hosts would be. Look for a common cause, such as a release.",
    fields=("failed_share", "usual_share", "peer_score", "hosts"),
    limited=True,
)

RELAY_EVENTS = (
    OPENING_PLACED,
    OPENING_REFUSED,
    OPENING_UNCERTAIN,
    FLOW_SEARCHED,
    FLOW_FOUND,
    OPENING_TAKEN,
    OPENING_PASSED,
    OPENING_OVERFLOWED,
    OPENING_EARLY,
    REQUEST_BEGUN,
    REQUEST_ANSWERED,
    REQUEST_EXPIRED,
    FLOW_TRIED,
    FLOW_RETURNED,
    FLOW_CLAIMED,
    FLOW_LOST,
    HOST_COLD,
    PACE_CHANGED,
    FLOW_CHECKED,
    UPSTREAM_SILENT,
    UPSTREAM_HEARD,
    SUSPECTS_CHANGED,
    DIRECTORY_CHANGED,
    HOST_EXPIRED,
    SOURCE_LOST,
    SOURCE_REGAINED,
    EVACUATION_SEEN,
    EVACUATION_ENDED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    LINES_SUPPRESSED,
    DATAGRAM_FAILED,
    TASK_RESTARTED,
    OUTLIER_EJECTED,
    OUTLIER_RETURNED,
    OUTLIERS_COMMON,
)
