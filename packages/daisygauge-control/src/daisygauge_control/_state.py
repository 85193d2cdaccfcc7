"""The configuration state of one daemon, without input and output."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import TypeVar

import attrs

from daisygauge_records import (
    Conflict,
    Instance,
    Key,
    MergeOutcome,
    Record,
    RecordError,
    RecordStore,
    Service,
    Spec,
    Upstream,
    parse_record,
)
from daisygauge_wire import KeyRing

from ._change_log import ChangeLog
from ._events import (
    ConfigurationChanged,
    Observe,
    RecordRefused,
    RevisionConflict,
    ignore_event,
)
from ._member import ALL_SERVICES, group_of, is_wanted
from ._platform import PublishedRecord
from ._signal import Signal
from ._uniqueness import refuse_duplicates
from ._view import ConfigurationView

Kind = TypeVar("Kind")


class ConfigurationState:
    """Merges published records into one store and builds views of it.

    :param service: id of the service whose records are needed, or ``ALL_SERVICES``.
    :param changed: notified of every change of records or instances.
    :ivar view: the configuration in force.
    :ivar unreadable: records that are refused because they are invalid, by name.
    :ivar duplicates: records that are refused as duplicates, by name.
    """

    def __init__(
        self,
        *,
        service: str = ALL_SERVICES,
        observe: Observe = ignore_event,
        changed: Signal | None = None,
    ) -> None:
        self.service = service
        self.changed = changed or Signal()
        self.view = ConfigurationView()
        self.store = RecordStore()
        self.change_log = ChangeLog()
        self.observe = observe
        self.unreadable: dict[str, RecordRefused] = {}
        self.duplicates: dict[str, RecordRefused] = {}
        self._keys: tuple[Key, ...] = ()
        self._document_hashes: dict[str, int] = {}

    @property
    def refused(self) -> dict[str, RecordRefused]:
        """Records that are currently refused, with the reasons, by name."""
        refused = (*self.unreadable.values(), *self.duplicates.values())
        return {entry.name: entry for entry in refused}

    def apply_records(self, published: Iterable[PublishedRecord]) -> bool:
        """Merge the records of the platform; an invalid record changes nothing.

        :return: True if a new view is in force.
        """
        changed = False
        for entry in published:
            content = hash(entry.document)
            if self._document_hashes.get(entry.name) == content:
                continue
            self._document_hashes[entry.name] = content
            record = self._parse(entry.document, name=entry.name)
            if record is not None:
                self.unreadable.pop(f"{record.kind}/{record.id}", None)
                changed |= self._apply_record(record)
        return changed and self._rebuild()

    def apply_documents(self, documents: Iterable[bytes]) -> bool:
        """Merge records of a peer.

        :return: True if a new view is in force.
        """
        records = [self._parse(document, name="peer") for document in documents]
        # A list, because any() on a generator would stop at the first changed record.
        changed = [
            self._apply_record(record) for record in records if record is not None
        ]
        return any(changed) and self._rebuild()

    def apply_instances(self, instances: Iterable[Instance]) -> bool:
        """Replace the instance list.

        :return: True if a new view is in force.
        """
        known = self.view.instances
        # Reuse equal entries, because peer streams compare them by identity.
        by_id = {
            entry.id: known[entry.id] if known.get(entry.id) == entry else entry
            for entry in instances
        }
        if by_id == known:
            return False
        self._set_view(attrs.evolve(self.view, instances=by_id))
        return True

    def _parse(self, document: bytes, *, name: str) -> Record | None:
        try:
            return parse_record(document, name=name)
        except RecordError as error:
            refused = RecordRefused(name=error.name, problems=error.problems)
            if self.unreadable.get(error.name) != refused:
                self.unreadable[error.name] = refused
                self.observe(refused)
            return None

    def _apply_record(self, record: Record) -> bool:
        id = (record.kind, record.id)
        wanted = is_wanted(group_of(record), service=self.service)
        if not wanted and id not in self.store.records:
            return False
        outcome = self.store.apply(record)
        if self.store.records[id] is not record:
            self._report_conflict(outcome)
            return False
        self.unreadable.pop(f"{record.kind}/{record.id}", None)
        self._report_conflict(outcome)
        self.change_log.record(record)
        self.changed.notify()
        return True

    def _report_conflict(self, outcome: MergeOutcome) -> None:
        match outcome:
            case Conflict(kept=kept, dropped=dropped):
                self.observe(
                    RevisionConflict(
                        name=f"{kept.kind}/{kept.id}",
                        revision=kept.revision,
                        kept=kept.digest,
                        dropped=dropped.digest,
                    )
                )

    def _rebuild(self) -> bool:
        specs = [record.spec for record in self.store.records.values()]
        distinct = refuse_duplicates(
            services=_select(specs, Service), keys=_select(specs, Key)
        )
        self._set_duplicates(
            RecordRefused(name=duplicate.name, problems=(duplicate.problem,))
            for duplicate in distinct.duplicates
        )
        view = ConfigurationView(
            version=self.view.version,
            services={service.id: service for service in distinct.services},
            upstreams=_group_by_service(_select(specs, Upstream)),
            keys=self._derive_keys(distinct.keys),
            instances=self.view.instances,
        )
        if view == self.view:
            return False
        self._set_view(view)
        return True

    def _set_duplicates(self, refused: Iterable[RecordRefused]) -> None:
        current = {entry.name: entry for entry in refused}
        for name, entry in current.items():
            if self.duplicates.get(name) != entry:
                self.observe(entry)
        self.duplicates = current

    def _derive_keys(self, keys: tuple[Key, ...]) -> KeyRing:
        """Derive keys only if they changed.

        Derivation is costly, and its result is a new object.
        """
        if keys == self._keys:
            return self.view.keys
        self._keys = keys
        return KeyRing.from_keys(keys)

    def _set_view(self, view: ConfigurationView) -> None:
        self.view = attrs.evolve(view, version=self.view.version + 1)
        self.changed.notify()
        self.observe(
            ConfigurationChanged(
                version=self.view.version,
                services=len(self.view.services),
                upstreams=sum(map(len, self.view.upstreams.values())),
                instances=len(self.view.instances),
            )
        )


def _select(specs: Iterable[Spec | None], kind: type[Kind]) -> list[Kind]:
    return [spec for spec in specs if isinstance(spec, kind)]


def _group_by_service(upstreams: Iterable[Upstream]) -> dict[str, tuple[Upstream, ...]]:
    groups: defaultdict[str, list[Upstream]] = defaultdict(list)
    for upstream in sorted(upstreams, key=lambda upstream: upstream.id):
        groups[upstream.service].append(upstream)
    return {service: tuple(group) for service, group in groups.items()}
