"""Configuration reading, spreading and membership."""

from ._consul import ConsulReader
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
    "ConfigurationChanged",
    "ConfigurationSource",
    "ConfigurationState",
    "ConfigurationView",
    "ConsulReader",
    "EVERYTHING",
    "FellBack",
    "InstancesSnapshot",
    "Member",
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
    "create_configuration_source",
]
