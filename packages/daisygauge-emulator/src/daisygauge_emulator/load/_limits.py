"""What no balancer could do better, for the same arrivals and work."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from ._arrivals import Arrival


def single_queue_latencies(arrivals: Iterable[Arrival], *, slots: int) -> list[float]:
    """Return the latencies of one queue in order of arrival before all slots.

    :param slots: slots of all hosts together.
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


def carried_worth(arrivals: Iterable[Arrival], *, slots: int, seconds: float) -> float:
    """Return an upper bound of the worth that the slots can carry.

    It fills the time of all slots with the requests of most worth for their
    time and lets the last one count in part, as if all were there from the start.

    :param seconds: time for which the slots work.
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
