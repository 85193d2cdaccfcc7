"""Load with open-loop arrivals, its measures and the physical limits."""

from ._arrivals import (
    Arrival,
    ConstantWork,
    ExponentialWork,
    LoadPlan,
    Phase,
    RequestKind,
    draw_arrivals,
)
from ._limits import carried_worth, single_queue_latencies
from ._measures import (
    Latency,
    Summary,
    imbalance,
    summarize,
    summarize_latencies,
    worth_share,
)
from ._run import Result, Sample, open_callers, run_load

__all__ = [
    "Arrival",
    "ConstantWork",
    "ExponentialWork",
    "Latency",
    "LoadPlan",
    "Phase",
    "RequestKind",
    "Result",
    "Sample",
    "Summary",
    "carried_worth",
    "draw_arrivals",
    "imbalance",
    "open_callers",
    "run_load",
    "single_queue_latencies",
    "summarize",
    "summarize_latencies",
    "worth_share",
]
