"""Merging of records, with the same result on every daemon in any order.

The records of one ID are totally ordered by revision, then by digest. A merge
keeps the greatest record, so it is commutative, associative, idempotent and
monotone (a join semilattice; Shapiro et al., "Conflict-free Replicated Data
Types").
"""

from __future__ import annotations

from dataclasses import dataclass

from ._models import Record


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The incoming record is now in force.

    :param replaced: the record that was in force before, or None.
    """

    record: Record
    replaced: Record | None


@dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The incoming record was already in force."""

    record: Record


@dataclass(frozen=True, kw_only=True)
class Outdated:
    """A higher revision is in force; the incoming record is dropped."""

    record: Record
    in_force: Record


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Two different records have the same revision; the greater digest is kept."""

    kept: Record
    dropped: Record


MergeOutcome = Applied | Unchanged | Outdated | Conflict
RecordId = tuple[str, str]


def merge_records(first: Record, second: Record) -> Record:
    """Return the one of two records with the same ID that goes into force."""
    return max(first, second, key=_order_key)


def _order_key(record: Record) -> tuple[int, str]:
    return record.revision, record.digest


class RecordStore:
    """The records in force, tombstones included.

    :ivar records: records by kind and ID.
    """

    def __init__(self) -> None:
        self.records: dict[RecordId, Record] = {}

    def apply(self, record: Record) -> MergeOutcome:
        """Merge a record into the store and return the outcome."""
        name = (record.kind, record.id)
        current = self.records.get(name)
        if current is None:
            self.records[name] = record
            return Applied(record=record, replaced=None)
        kept = merge_records(current, record)
        self.records[name] = kept
        return _describe_outcome(current=current, incoming=record, kept=kept)


def _describe_outcome(
    *, current: Record, incoming: Record, kept: Record
) -> MergeOutcome:
    if _order_key(current) == _order_key(incoming):
        return Unchanged(record=current)
    if current.revision == incoming.revision:
        dropped = incoming if kept is current else current
        return Conflict(kept=kept, dropped=dropped)
    if kept is current:
        return Outdated(record=incoming, in_force=current)
    return Applied(record=incoming, replaced=current)
