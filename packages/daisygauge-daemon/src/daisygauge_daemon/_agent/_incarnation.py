"""Incarnation numbers, which distinguish the starts of an agent's process."""

from __future__ import annotations

EPOCH_SECONDS = 1_735_689_600
"""2025-01-01 in Unix time."""
TICKS_PER_SECOND = 8
TICK_SECONDS = 1 / TICKS_PER_SECOND


def incarnation_at(now: float) -> int:
    """Return the incarnation of a process that binds its socket now.

    A process that waits one tick between binding its socket and this call gets a
    greater number than every earlier process on the same address, as long as the
    clock does not go back. The number fits 32 bits until 2042.

    :param now: Unix time in seconds.
    """
    return int((now - EPOCH_SECONDS) * TICKS_PER_SECOND) & 0xFFFFFFFF
