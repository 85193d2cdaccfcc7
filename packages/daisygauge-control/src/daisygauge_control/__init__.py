"""Configuration reading, propagation and membership."""

import lazy_loader

# Modules are imported on first use, so that a process starts with only those that its
# role uses.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_budget": [
            "ControlBudget",
        ],
        "_consul": [
            "ConsulReader",
        ],
        "_credentials": [
            "Call",
            "NoKeyError",
            "authenticate_server",
            "sign_call",
        ],
        "_errors": ["PlatformUnavailableError"],
        "_directory": [
            "Directory",
            "DirectoryItem",
            "DirectoryView",
            "EvacuationRecord",
            "HostRecord",
            "HostState",
            "RouteRecord",
            "RoutingRecord",
            "ServiceRecord",
            "ServiceShare",
            "UnusableRecord",
        ],
        "_directory_events": [
            "DirectoryChanged",
            "DirectoryEvent",
            "HostExpired",
            "PlatformCalled",
            "SourceLost",
            "SourceRegained",
        ],
        "_directory_exchange": ["DirectoryServer", "PeerReader"],
        "_directory_follower": ["WATCH_SECONDS", "DirectoryFollower"],
        "_directory_reader": [
            "DirectoryReader",
            "DirectoryUpdate",
            "HistoryLostError",
        ],
        "_events": [
            "ConfigurationChanged",
            "FellBackToPlatform",
            "Observe",
            "PeerLost",
            "PlatformLost",
            "PlatformRegained",
            "RecordRefused",
            "RevisionConflict",
            "SourceEvent",
            "WatcherChanged",
        ],
        "_status_client": [
            "NoAnswerError",
            "fetch_status",
        ],
        "_http_client": ["HttpClient", "HttpResponse"],
        "_member": [
            "ALL_SERVICES",
            "Member",
        ],
        "_platform": [
            "InstancesSnapshot",
            "PlatformReader",
            "PublishedRecord",
            "RecordsSnapshot",
        ],
        "_signal": ["Signal"],
        "_tcp": ["connect_tcp", "listen_tcp"],
        "_source": [
            "ConfigurationSource",
            "create_configuration_source",
        ],
        "_state": [
            "ConfigurationState",
        ],
        "_view": [
            "ConfigurationView",
        ],
    },
)
