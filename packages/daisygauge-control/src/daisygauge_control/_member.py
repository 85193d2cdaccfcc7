"""Identity of a daemon and the scope of the records that it needs."""

from __future__ import annotations

from attrs import frozen

from daisygauge_records import Record, Role, Service, Upstream

ALL_SERVICES = ""
"""Scope of a daemon that needs the records of all services."""
KEYS_GROUP = ""
"""Group of the records that every daemon needs."""
TOMBSTONES_GROUP = "/tombstones"
"""Group of tombstones; no service id contains a slash, so they can't collide."""


@frozen(kw_only=True)
class Member:
    """Identity of a daemon in the fleet, taken from its settings.

    :param id: instance id, equal to that in the platform's instance list.
    :param service: id of the service whose records the daemon needs, or
        ``ALL_SERVICES``.
    """

    id: str
    role: Role
    region: str
    failure_domain: str
    service: str = ALL_SERVICES


def group_of(record: Record) -> str:
    """Return the group that a record belongs to.

    The group depends on the record alone, so that all daemons that hold a record
    count it in the same group.
    """
    match record.spec:
        case Service(id=id):
            return id
        case Upstream(service=service):
            return service
        case None:
            return TOMBSTONES_GROUP
        case _:
            return KEYS_GROUP


def is_wanted(group: str, *, service: str) -> bool:
    """Return whether a daemon needs the records of a group.

    :param service: scope of the daemon, see :class:`Member`.
    """
    return service in (ALL_SERVICES, group) or group == KEYS_GROUP
