"""Placement, admission, retry and membership decisions."""

from ._admission import (
    AdmissionQueue,
    Admit,
    RefusalReason,
    Refuse,
    SlotUse,
    WaitingRequest,
)
from ._budgets import RetryBudget, TokenBucket
from ._classes import DEFAULT_CLASS, match_class
from ._concurrency import ConcurrencyLimit, RunEnd, UpstreamState
from ._deadlines import Deadline, read_deadline
from ._drain import DrainStage, decide_drain_stage
from ._fence import (
    LARGEST_ANSWER_BYTES,
    REPEAT_WINDOW_SECONDS,
    AskOwner,
    Decision,
    Granted,
    InProgress,
    KeyOwner,
    Moved,
    OtherRequest,
    OutcomeLost,
    OutcomeTable,
    OwnerReply,
    Replay,
    RunFirst,
    StoredAnswer,
    TableFull,
)
from ._gauges import PeerGauge, PeerGauges
from ._hand_off import (
    HandOffDecision,
    HandToPeer,
    KeepRequest,
    PeerLoad,
    SentRequests,
    choose_peer,
    expected_seconds,
)
from ._passing import (
    AcceptFlight,
    FlightDecision,
    FlightMemory,
    FlightReason,
    PassFlight,
    RefuseFlight,
    decide_first_flight,
)
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
from ._recent import RecentRuns
from ._return_paths import ReturnPaths
from ._service_times import ServiceTimes
from ._suspects import SuspectList

__all__ = [
    "LARGEST_ANSWER_BYTES",
    "Decision",
    "OwnerReply",
    "DEFAULT_CLASS",
    "REPEAT_WINDOW_SECONDS",
    "AcceptFlight",
    "AdmissionQueue",
    "Admit",
    "AskOwner",
    "CandidateTable",
    "ConcurrencyLimit",
    "Deadline",
    "DrainStage",
    "FlightDecision",
    "FlightMemory",
    "FlightReason",
    "Granted",
    "HandOffDecision",
    "HandToPeer",
    "InProgress",
    "KeepRequest",
    "KeyOwner",
    "Moved",
    "OtherRequest",
    "OutcomeLost",
    "OutcomeTable",
    "PassFlight",
    "PeerGauge",
    "PeerGauges",
    "PeerLoad",
    "PlacementTable",
    "PublishedLoadTable",
    "RecentRuns",
    "RefusalReason",
    "Refuse",
    "RefuseFlight",
    "Replay",
    "RetryBudget",
    "ReturnPaths",
    "RoundRobinTable",
    "RunEnd",
    "RunFirst",
    "SentRequests",
    "ServiceTimes",
    "SlotUse",
    "SlowStart",
    "StoredAnswer",
    "SuspectList",
    "TableFull",
    "TokenBucket",
    "UpstreamState",
    "WaitingRequest",
    "choose_peer",
    "create_placement_table",
    "decide_drain_stage",
    "decide_first_flight",
    "expected_seconds",
    "make_flow_key",
    "match_class",
    "read_deadline",
    "select_eligible",
    "slow_start_share",
]
