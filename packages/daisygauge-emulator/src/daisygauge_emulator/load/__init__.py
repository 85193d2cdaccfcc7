"""Open-loop load, its measures and the limits of any balancing policy."""

from ._arrivals import (
    Arrival,
    ConstantWork,
    ExponentialWork,
    LoadPlan,
    Phase,
    RequestKind,
    draw_arrivals,
)
from ._limits import max_worth, single_queue_latencies
from ._measures import (
    Latency,
    Summary,
    imbalance,
    summarize,
    summarize_latencies,
    worth_share,
)
from ._run import LoadResult, Sample, open_callers, run_load

__all__ = [
    "Arrival",
    "ConstantWork",
    "ExponentialWork",
    "Latency",
    "LoadPlan",
    "Phase",
    "RequestKind",
    "LoadResult",
    "Sample",
    "Summary",
    "max_worth",
    "draw_arrivals",
    "imbalance",
    "open_callers",
    "run_load",
    "single_queue_latencies",
    "summarize",
    "summarize_latencies",
    "worth_share",
]
