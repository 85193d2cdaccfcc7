"""Log of the changes of a record store, and digests of the records in force."""

from __future__ import annotations

import hashlib
from collections import defaultdict, deque
from collections.abc import Iterable

from attrs import define, frozen

from daisygauge_records import Record

from ._member import ALL_SERVICES, KEYS_GROUP, group_of

BUCKETS = 256
MAX_CHANGES = 4_096
HASH_BYTES = 8

RecordId = tuple[str, str]


@define(kw_only=True)
class Summary:
    """Digest and revision of a set of records.

    :param digest: XOR of the hashes of the records.
    :param revision: sum of the revisions of the records.
    """

    digest: int = 0
    revision: int = 0


@frozen(kw_only=True)
class Change:
    """Change of one record.

    :param sequence: position in the change log.
    :param groups: groups of the record before and after the change.
    """

    sequence: int
    id: RecordId
    groups: frozenset[str]


@frozen(kw_only=True)
class _Entry:
    """What is known of one record.

    :param group: the record's group now.
    :param groups: every group that it has had in this process, the present one too.
    """

    hash: int
    revision: int
    group: str
    groups: frozenset[str]


class ChangeLog:
    """Records the latest changes of a store, so that followers receive only those.

    :ivar sequence: number of the latest change.
    :ivar summaries: summaries by group; ``"*"`` covers all records.
    """

    def __init__(self) -> None:
        self.sequence = 0
        self.changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self.entries: dict[RecordId, _Entry] = {}
        self.summaries: defaultdict[str, Summary] = defaultdict(Summary)

    def record(self, record: Record) -> None:
        """Append the change of a record that has come into force."""
        id = (record.kind, record.id)
        before = self.entries.get(id)
        group = group_of(record)
        former = frozenset() if before is None else before.groups
        entry = _Entry(
            hash=hash_record(record),
            revision=record.revision,
            group=group,
            groups=former | {group},
        )
        groups = {entry.group}
        if before is not None:
            self._count(before, sign=-1)
            groups.add(before.group)
        self._count(entry, sign=1)
        self.entries[id] = entry
        self.sequence += 1
        self.changes.append(
            Change(sequence=self.sequence, id=id, groups=frozenset(groups))
        )

    def _count(self, entry: _Entry, *, sign: int) -> None:
        for group in {entry.group, "*"}:
            summary = self.summaries[group]
            summary.digest ^= entry.hash
            summary.revision += sign * entry.revision

    def summarize(self, *, service: str) -> Summary:
        """Return the summary of the records that a daemon needs.

        :param service: scope of the daemon, see :class:`Member`.
        """
        if service == ALL_SERVICES:
            return self.summaries["*"]
        keys = self.summaries[KEYS_GROUP]
        own = self.summaries[service]
        return Summary(
            digest=keys.digest ^ own.digest, revision=keys.revision + own.revision
        )

    def changes_after(self, sequence: int) -> list[Change] | None:
        """Return the changes after a sequence number, or None if some were dropped."""
        if sequence < self.sequence - len(self.changes):
            return None
        missing = self.sequence - sequence
        return list(self.changes)[len(self.changes) - missing :]

    def bucket_digests(self) -> list[int]:
        """Return the XOR of the hashes in each bucket of ids."""
        digests = [0] * BUCKETS
        for id, entry in self.entries.items():
            digests[bucket_of(id)] ^= entry.hash
        return digests

    def ids_in(self, buckets: Iterable[int]) -> list[RecordId]:
        """Return the ids of the records in the given buckets."""
        wanted = frozenset(buckets)
        return [id for id in self.entries if bucket_of(id) in wanted]


def hash_record(record: Record) -> int:
    """Return a hash of the content of a record that is equal in every process."""
    text = f"{record.kind}/{record.id}/{record.revision}/{record.digest}"
    return _hash(text)


def bucket_of(id: RecordId) -> int:
    """Return the bucket of an id, which is equal in every process."""
    return _hash("/".join(id)) % BUCKETS


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
