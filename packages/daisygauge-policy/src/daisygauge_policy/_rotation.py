"""How a stopping balancer leaves the fabric's rotation, and when it may exit.

A fabric takes a balancer out of rotation after some failed health checks. When too
few balancers of a failure domain are in rotation, it uses all of them, including
dead ones. A stopping balancer detects this by packets that keep arriving. It then
reports ready for a while, so that dead balancers stay out of rotation, and leaves
again later. This happens when rolling restarts overlap in a small failure domain.

=========  ========================  ==========================================
stage      reports                   next
=========  ========================  ==========================================
LEAVING    not ready                 FINISHED when no packets arrive; NEEDED
                                     when packets keep arriving
NEEDED     ready                     LEAVING after ``NEEDED_SECONDS``
FINISHED   not ready                 the process exits
=========  ========================  ==========================================

Every stage ends in FINISHED after ``longest_seconds``.
"""

from __future__ import annotations

import enum

from msgspec import Struct

NOTICE_SECONDS = 1.4
"""Time until the fabric has taken the balancer out of rotation: two failed health
checks at two per second, and the transit of the packets sent before."""
NEEDED_SECONDS = 1.5
"""About the time that a restart of a process takes."""
QUIET_SECONDS = 0.6
"""Twice the longest pause between packets of a balancer in light use."""
ACTIVE_SECONDS = 0.3
"""Packets this recent show that the fabric still uses the balancer."""


class RotationStage(enum.Enum):
    """Stages of a stopping balancer; see the table of the module."""

    LEAVING = "leaving"
    NEEDED = "needed"
    FINISHED = "finished"


class Rotation(Struct, kw_only=True):
    """The stage of a stopping balancer on its way out of rotation.

    :param longest_seconds: time after which it exits in any case.
    :param began: monotonic time of the stop signal.
    :param since: monotonic time at which the present stage began.
    """

    longest_seconds: float
    began: float
    since: float
    stage: RotationStage = RotationStage.LEAVING

    def advance(self, *, last_packet: float, now: float) -> RotationStage:
        """Update and return the stage.

        :param last_packet: monotonic time of the last packet from a client.
        """
        next_stage = self._next_stage(last_packet=last_packet, now=now)
        if next_stage is not self.stage:
            self.stage = next_stage
            self.since = now
        return self.stage

    def _next_stage(self, *, last_packet: float, now: float) -> RotationStage:
        remaining_seconds = self.began + self.longest_seconds - now
        if remaining_seconds <= 0.0 or self.stage is RotationStage.FINISHED:
            return RotationStage.FINISHED
        must_leave = remaining_seconds <= NOTICE_SECONDS
        elapsed = now - self.since
        if self.stage is RotationStage.NEEDED:
            is_over = must_leave or elapsed >= NEEDED_SECONDS
            return RotationStage.LEAVING if is_over else RotationStage.NEEDED
        if elapsed < NOTICE_SECONDS:
            return RotationStage.LEAVING
        silence = now - last_packet
        if silence >= QUIET_SECONDS:
            return RotationStage.FINISHED
        # After another NEEDED stage, the balancer needs time to leave again.
        has_time = remaining_seconds > NEEDED_SECONDS + NOTICE_SECONDS
        is_used = silence <= ACTIVE_SECONDS
        return RotationStage.NEEDED if is_used and has_time else RotationStage.LEAVING
