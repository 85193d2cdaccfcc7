"""Theoretical limits of any balancing policy for the same arrivals and work."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ._arrivals import Arrival


def single_queue_latencies(arrivals: Iterable[Arrival], *, slots: int) -> list[float]:
    """Return the latencies of a single first-in, first-out queue for all slots.

    :param slots: total number of slots of all hosts.
    :return: seconds from arrival to the end of the run, in order of arrival.
    """
    free_at = [0.0] * slots
    latencies = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at_seconds):
        start = max(arrival.at_seconds, heapq.heappop(free_at))
        end = start + arrival.work_seconds
        heapq.heappush(free_at, end)
        latencies.append(end - arrival.at_seconds)
    return latencies


def max_worth(arrivals: Iterable[Arrival], *, slots: int, seconds: float) -> float:
    """Return an upper bound of the worth that the slots can answer.

    The bound fills the time of all slots with the requests that have the most worth
    per second of work, as if all had arrived at the start. The last request counts
    in part.

    :param slots: total number of slots of all hosts.
    :param seconds: time for which the slots are available.
    """
    left_seconds = slots * seconds
    worth = 0.0

    def worth_per_second(arrival: Arrival) -> float:
        return arrival.kind.worth / max(arrival.work_seconds, 1e-9)

    for arrival in sorted(arrivals, key=worth_per_second, reverse=True):
        if left_seconds <= arrival.work_seconds:
            return worth + arrival.kind.worth * left_seconds / arrival.work_seconds
        left_seconds -= arrival.work_seconds
        worth += arrival.kind.worth
    return worth
