"""The merge of records, which gives every daemon the same result in any order.

The records of one id form a total order by revision, then by digest. A merge
keeps the greatest, so it is commutative, associative, idempotent and monotone
(a join semilattice, Shapiro et al., "Conflict-free Replicated Data Types").
"""

from __future__ import annotations

from dataclasses import dataclass

from ._models import Record


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The incoming record is in force.

    :param replaced: the record that was in force before, if any.
    """

    record: Record
    replaced: Record | None


@dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The incoming record was in force already."""

    record: Record


@dataclass(frozen=True, kw_only=True)
class Outdated:
    """A higher revision is in force; the incoming record is dropped."""

    record: Record
    in_force: Record


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Two contents were published with one revision; the digest has settled it."""

    kept: Record
    dropped: Record


MergeOutcome = Applied | Unchanged | Outdated | Conflict
RecordId = tuple[str, str]


def merge_records(first: Record, second: Record) -> Record:
    """Return the record that goes into force out of two of one id."""
    return max(first, second, key=_order)


def _order(record: Record) -> tuple[int, str]:
    return record.revision, record.digest


class RecordStore:
    """The records in force, tombstones included.

    :ivar records: records by kind and id.
    """

    def __init__(self) -> None:
        self.records: dict[RecordId, Record] = {}

    def apply(self, record: Record) -> MergeOutcome:
        """Merge one record into the store."""
        name = (record.kind, record.id)
        current = self.records.get(name)
        if current is None:
            self.records[name] = record
            return Applied(record=record, replaced=None)
        kept = merge_records(current, record)
        self.records[name] = kept
        return _describe(current=current, incoming=record, kept=kept)


def _describe(*, current: Record, incoming: Record, kept: Record) -> MergeOutcome:
    if _order(current) == _order(incoming):
        return Unchanged(record=current)
    if current.revision == incoming.revision:
        dropped = incoming if kept is current else current
        return Conflict(kept=kept, dropped=dropped)
    if kept is current:
        return Outdated(record=incoming, in_force=current)
    return Applied(record=incoming, replaced=current)
