"""What an agent does when the instance list or SIGTERM says that it leaves.

=========  ============================================================
stage      behaviour
=========  ============================================================
SERVING    everything
LEAVING    not ready; GOAWAY on every connection; first flights are
           passed on; new and waiting requests go to peers, and run here
           only when no peer takes them within ``GRACE_SECONDS``
DRAINING   as LEAVING, but a request that no peer takes is refused "not
           run"; running requests and feeds finish
FINISHED   nothing is open any more, the process exits with code 0
=========  ============================================================
"""

from __future__ import annotations

import enum

GRACE_SECONDS = 1.0
# Callers see the end of their connection before the process is gone.
LINGER_SECONDS = 1.0


class DrainStage(enum.Enum):
    """How far a leaving agent is."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    FINISHED = "finished"


def decide_drain_stage(
    *, leaving_since: float | None, open_requests: int, now: float
) -> DrainStage:
    """Return the stage of an agent.

    No stage ends a running request or feed: a host that must go earlier is an
    unplanned stop, which is the platform's to decide.

    :param leaving_since: Unix time in seconds, or None while staying.
    :param open_requests: waiting and running requests and feeds.
    """
    if leaving_since is None:
        return DrainStage.SERVING
    if now < leaving_since + GRACE_SECONDS:
        return DrainStage.LEAVING
    is_finished = not open_requests and now >= (
        leaving_since + GRACE_SECONDS + LINGER_SECONDS
    )
    return DrainStage.FINISHED if is_finished else DrainStage.DRAINING
