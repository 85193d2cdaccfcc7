"""Who a daemon is, as its settings say."""

from __future__ import annotations

from attrs import frozen

from daisygauge_records import Record, Role, Service, Upstream

ALL_SERVICES = ""
"""The scope of a daemon that needs every record."""
KEYS_GROUP = ""
"""The group of the records that every daemon needs."""
TOMBSTONES_GROUP = "/tombstones"
"""The group of tombstones; no service id contains a slash."""


@frozen(kw_only=True)
class Member:
    """A daemon as a member of the fleet.

    :param id: instance id, equal to that in the platform's instance list.
    :param service: the service whose records the daemon needs, or ``ALL_SERVICES``.
    """

    id: str
    role: Role
    region: str
    failure_domain: str
    service: str = ALL_SERVICES


def group_of(record: Record) -> str:
    """Return the group of daemons that need a record.

    It depends on the record alone, so that two daemons holding one record count
    it in the same group.
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
    """Tell whether a daemon with a scope needs the records of a group."""
    return service in (ALL_SERVICES, group) or group == KEYS_GROUP
