"""Placement, admission, retry and membership decisions."""

import lazy_loader

# Modules load on first use, so a process loads only those that its role uses.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_admission": [
            "AdmissionQueue",
            "Admit",
            "RefusalReason",
            "Refuse",
            "SlotUse",
            "WaitingRequest",
        ],
        "_budgets": [
            "RetryBudget",
            "TokenBucket",
        ],
        "_classes": [
            "DEFAULT_CLASS",
            "match_class",
        ],
        "_cold_rate": ["ColdPeriod", "ColdRateLimit"],
        "_concurrency": [
            "ConcurrencyLimit",
            "RunEnd",
            "UpstreamState",
        ],
        "_deadlines": [
            "Deadline",
            "read_deadline",
        ],
        "_drain": [
            "DrainStage",
            "decide_drain_stage",
        ],
        "_idempotency": [
            "LARGEST_ANSWER_BYTES",
            "REPEAT_WINDOW_SECONDS",
            "AskOwner",
            "Decision",
            "Granted",
            "InProgress",
            "KeyOwner",
            "Moved",
            "OtherRequest",
            "OutcomeLost",
            "OutcomeTable",
            "OwnerReply",
            "Replay",
            "StartRun",
            "StoredAnswer",
            "TableFull",
        ],
        "_load_reports": [
            "PeerLoadReport",
            "PeerLoadReports",
        ],
        "_hand_off": [
            "HandOffDecision",
            "HandToPeer",
            "KeepRequest",
            "PeerLoad",
            "SentRequests",
            "choose_peer",
            "expected_seconds",
        ],
        "_scheduler": ["SchedulerChange", "ScheduledRequest", "RequestScheduler"],
        "_pace": ["Pace", "PeerEntry", "SettledPeers"],
        "_opening": [
            "AskedAgent",
            "BusyAgent",
            "OpeningDecision",
            "OpeningReason",
            "PassOpening",
            "RefuseOpening",
            "TakeOpening",
            "choose_candidate",
            "decide_opening",
        ],
        "_rendezvous": ["rank", "rendezvous_score"],
        "_rotation": ["Rotation", "RotationStage"],
        "_search": [
            "PendingSearch",
            "PendingSearches",
            "SearchBudget",
            "SearchStep",
        ],
        "_first_flight": [
            "AcceptFlight",
            "FlightDecision",
            "PassedFlights",
            "FlightReason",
            "PassFlight",
            "RefuseFlight",
            "decide_first_flight",
        ],
        "_outliers": [
            "OutlierChange",
            "OutlierDetector",
            "OutlierEjected",
            "OutlierReturned",
            "OutliersCommon",
        ],
        "_overflow": [
            "CrossOpening",
            "OtherService",
            "OverflowDecision",
            "ReturnOpening",
            "VisitDecision",
            "decide_overflow",
            "decide_visit",
            "is_short",
        ],
        "_placement": [
            "CandidateTable",
            "PlacementTable",
            "PublishedLoadTable",
            "RoundRobinTable",
            "create_placement_table",
            "make_flow_key",
            "select_eligible",
        ],
        "_slow_start": [
            "SlowStart",
            "slow_start_share",
        ],
        "_recent_completions": [
            "RecentCompletions",
        ],
        "_return_paths": [
            "ReturnPaths",
        ],
        "_service_times": [
            "ServiceTimes",
        ],
        "_suspects": [
            "SuspectList",
        ],
        "_utilization": ["Utilization"],
    },
)
