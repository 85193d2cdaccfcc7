"""Stages of an agent that drains because of SIGTERM or the instance list.

=========  ============================================================
stage      behaviour
=========  ============================================================
SERVING    handles every request
LEAVING    not ready; GOAWAY on every connection; first flights are
           passed on; new and waiting requests go to peers, and run here
           only when no peer takes them within ``GRACE_SECONDS``
DRAINING   as LEAVING, but a request that no peer takes is refused "not
           run"; running requests and feeds finish
FINISHED   no request or feed is open and ``GRACE_SECONDS`` plus
           ``LINGER_SECONDS`` are over; the process exits with code 0
=========  ============================================================
"""

from __future__ import annotations

import enum

GRACE_SECONDS = 1.0
# Time for callers to receive the end of their connection before the process exits.
LINGER_SECONDS = 1.0


class DrainStage(enum.Enum):
    """Stages of an agent; see the table of the module."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"
    FINISHED = "finished"


def decide_drain_stage(
    *, leaving_since: float | None, open_requests: int, now: float
) -> DrainStage:
    """Return the stage of an agent.

    No stage ends a running request or feed. If the platform stops the host before
    they have ended, that is an unplanned stop.

    :param leaving_since: Unix time in seconds, or None if the agent isn't leaving.
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
