"""Catalogue of the events of both daemons, for documentation and tools."""

from __future__ import annotations

from importlib import import_module

from ._configuration import CONFIGURATION_EVENTS
from ._events import RUNTIME_EVENTS, Event

_ROLE_PACKAGES = ("_balancer", "_agent")


def all_events() -> tuple[Event, ...]:
    """Return all events, ordered by number."""
    modules = [
        import_module(f".{package}._events", __package__) for package in _ROLE_PACKAGES
    ]
    events = [
        *RUNTIME_EVENTS,
        *CONFIGURATION_EVENTS,
        *(event for module in modules for event in module.EVENTS),
    ]
    return tuple(sorted(events, key=lambda event: event.number))
