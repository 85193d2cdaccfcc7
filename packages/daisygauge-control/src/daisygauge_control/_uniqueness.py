"""Uniqueness checks across records: no number or address may be used twice.

Every daemon has to refuse the same record, whatever the order in which records arrive:
two daemons that disagree about a service number would deliver packets to the wrong
service. The choice therefore depends on the records alone.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

from attrs import frozen

from daisygauge_records import Key, Problem, Service

Spec = TypeVar("Spec", Service, Key)


@frozen(kw_only=True)
class Duplicate:
    """A record that is refused because another one uses the same value.

    :param name: the refused record, as ``kind/id``.
    """

    name: str
    problem: Problem


@frozen(kw_only=True)
class Distinct:
    """Records without the refused duplicates, and the duplicates."""

    services: tuple[Service, ...]
    keys: tuple[Key, ...]
    duplicates: tuple[Duplicate, ...]


def refuse_duplicates(*, services: Iterable[Service], keys: Iterable[Key]) -> Distinct:
    """Keep the first record that uses each number and address.

    Services are ordered by id and keys by ``not_before``, so that a key in use is not
    displaced by a later one.
    """
    by_id = sorted(services, key=lambda service: service.id)
    kept, same_number = _keep_first(
        by_id, kind="service", field="number", value=lambda service: service.number
    )
    kept, same_address = _keep_first(
        kept, kind="service", field="address", value=lambda service: service.address
    )
    by_time = sorted(keys, key=lambda key: (key.not_before, key.id))
    kept_keys, same_key = _keep_first(
        by_time, kind="key", field="number", value=lambda key: key.number
    )
    return Distinct(
        services=tuple(kept),
        keys=tuple(kept_keys),
        duplicates=(*same_number, *same_address, *same_key),
    )


def _keep_first(
    specs: Iterable[Spec],
    *,
    kind: str,
    field: str,
    value: Callable[[Spec], Hashable],
) -> tuple[list[Spec], list[Duplicate]]:
    users: dict[Hashable, Spec] = {}
    duplicates = []
    for spec in specs:
        first = users.setdefault(value(spec), spec)
        if first is not spec:
            problem = Problem(
                path=f"spec.{field}",
                message=f"{value(spec)} is used by {kind}/{first.id}",
                remedy=f"publish another {field}, or delete {kind}/{first.id} first",
            )
            duplicates.append(Duplicate(name=f"{kind}/{spec.id}", problem=problem))
    return list(users.values()), duplicates
