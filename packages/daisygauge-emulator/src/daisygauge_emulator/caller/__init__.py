"""HTTP/3 callers for tests, the demo and experiments, based on two libraries."""

from ._caller import Caller, Client
from ._feed import Feed, FeedReport
from ._outcome import Answered, Defect, NotRun, Outcome, Unknown
from ._request import Request, Target

__all__ = [
    "Answered",
    "Caller",
    "Client",
    "Defect",
    "Feed",
    "FeedReport",
    "NotRun",
    "Outcome",
    "Request",
    "Target",
    "Unknown",
]
