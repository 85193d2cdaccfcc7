"""All events of both daemons, for operators' pages and tools."""

from __future__ import annotations

from importlib import import_module

from ._configuration import CONFIGURATION_EVENTS
from ._events import RUNTIME_EVENTS, Event

_PARTS = ("_balancer", "_agent")


def all_events() -> tuple[Event, ...]:
    """Return the catalogue ordered by number."""
    parts = [import_module(f".{part}._events", __package__) for part in _PARTS]
    found = [
        *RUNTIME_EVENTS,
        *CONFIGURATION_EVENTS,
        *(event for part in parts for event in part.EVENTS),
    ]
    return tuple(sorted(found, key=lambda event: event.number))
