"""Configuration reading, spreading and membership."""

from ._consul import ConsulReader
from ._events import (
    ConfigurationChanged,
    Observe,
    PlatformLost,
    PlatformRegained,
    RecordRefused,
    RevisionConflict,
    SourceEvent,
)
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
    "InstancesSnapshot",
    "Observe",
    "PlatformLost",
    "PlatformReader",
    "PlatformRegained",
    "PlatformUnavailableError",
    "PublishedRecord",
    "RecordRefused",
    "RecordsSnapshot",
    "RevisionConflict",
    "SourceEvent",
    "create_configuration_source",
]
