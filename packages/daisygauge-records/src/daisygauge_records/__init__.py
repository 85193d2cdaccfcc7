"""Validation and merging of the configuration records that operators publish."""

from ._errors import (
    DocumentError,
    InvalidValueError,
    Problem,
    RecordError,
    SettingsError,
)
from ._instances import Instance, Role
from ._merge import (
    Applied,
    Conflict,
    MergeOutcome,
    Outdated,
    RecordStore,
    Unchanged,
    merge_records,
)
from ._models import (
    Endpoint,
    FifoQueue,
    HandOff,
    Key,
    LoadHandOff,
    NoHandOff,
    Placement,
    PublishedLoadPlacement,
    Queue,
    Record,
    RendezvousPlacement,
    RequestClass,
    RoundRobinPlacement,
    Service,
    Spec,
    Upstream,
    WorthQueue,
)
from ._parse import parse_record, parse_record_value
from ._settings import load_settings, parse_settings
from ._structure import structure
from ._unstructure import unstructure

__all__ = [
    "Applied",
    "Conflict",
    "DocumentError",
    "Endpoint",
    "FifoQueue",
    "HandOff",
    "Instance",
    "Key",
    "LoadHandOff",
    "MergeOutcome",
    "NoHandOff",
    "Outdated",
    "Placement",
    "Problem",
    "PublishedLoadPlacement",
    "Queue",
    "Record",
    "RecordError",
    "RecordStore",
    "RendezvousPlacement",
    "RequestClass",
    "Role",
    "RoundRobinPlacement",
    "Service",
    "SettingsError",
    "Spec",
    "Unchanged",
    "Upstream",
    "InvalidValueError",
    "WorthQueue",
    "load_settings",
    "merge_records",
    "parse_record",
    "parse_record_value",
    "parse_settings",
    "structure",
    "unstructure",
]
