"""Placement, admission, retry and membership decisions."""

from ._gauges import PeerGauge, PeerGauges
from ._placement import (
    CandidateTable,
    PlacementTable,
    PublishedLoadTable,
    RoundRobinTable,
    create_placement_table,
    make_flow_key,
    select_eligible,
)
from ._ramp import SlowStart, slow_start_share
from ._return_paths import ReturnPaths
from ._suspects import SuspectList

__all__ = [
    "CandidateTable",
    "PeerGauge",
    "PeerGauges",
    "PlacementTable",
    "PublishedLoadTable",
    "ReturnPaths",
    "RoundRobinTable",
    "SlowStart",
    "SuspectList",
    "create_placement_table",
    "make_flow_key",
    "select_eligible",
    "slow_start_share",
]
