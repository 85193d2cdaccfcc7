"""The balancer and agent daemons."""

import lazy_loader

# Modules load on first use, so that a process loads only those of its role.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_catalogue": [
            "all_events",
        ],
        "_command_line": [
            "EXIT_MISUSE",
            "MisuseError",
            "new_flags",
            "parse_flags",
        ],
        "_readiness": ["Readiness"],
        "_events": [
            "CONFIGURATION_READY",
            "DRAINING",
            "STARTED",
            "STOPPED",
            "TASK_FAILED",
            "Event",
            "EventLog",
            "Level",
            "emit_line",
            "write_events_to",
        ],
    },
)
