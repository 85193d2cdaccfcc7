"""Configuration reading, spreading and membership."""

from ._budget import ControlBudget
from ._consul import ConsulReader
from ._credentials import Call, NoKeyError, authenticate_server, sign_call
from ._events import (
    ConfigurationChanged,
    FellBack,
    Observe,
    PeerLost,
    PlatformLost,
    PlatformRegained,
    RecordRefused,
    RevisionConflict,
    SeatChanged,
    SourceEvent,
)
from ._fetch import NoAnswerError, fetch_status
from ._member import EVERYTHING, Member
from ._platform import (
    InstancesSnapshot,
    PlatformReader,
    PlatformUnavailableError,
    PublishedRecord,
    RecordsSnapshot,
)
from ._source import ConfigurationSource, create_configuration_source
from ._state import ConfigurationState
from ._view import ConfigurationView

__all__ = [
    "Call",
    "ConfigurationChanged",
    "ConfigurationSource",
    "ConfigurationState",
    "ConfigurationView",
    "ConsulReader",
    "ControlBudget",
    "EVERYTHING",
    "FellBack",
    "InstancesSnapshot",
    "Member",
    "NoAnswerError",
    "NoKeyError",
    "Observe",
    "PeerLost",
    "PlatformLost",
    "PlatformReader",
    "PlatformRegained",
    "PlatformUnavailableError",
    "PublishedRecord",
    "RecordRefused",
    "RecordsSnapshot",
    "RevisionConflict",
    "SeatChanged",
    "SourceEvent",
    "authenticate_server",
    "create_configuration_source",
    "fetch_status",
    "sign_call",
]
