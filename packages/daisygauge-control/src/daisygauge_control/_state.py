"""The state of configuration that one daemon holds, free of input and output."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import TypeVar

import attrs

from daisygauge_records import (
    Applied,
    Conflict,
    Instance,
    Key,
    Record,
    RecordError,
    RecordStore,
    Service,
    Spec,
    Upstream,
    parse_record,
)
from daisygauge_wire import KeyRing

from ._events import (
    ConfigurationChanged,
    Observe,
    RecordRefused,
    RevisionConflict,
    ignore_event,
)
from ._platform import PublishedRecord
from ._uniqueness import refuse_duplicates
from ._view import ConfigurationView

Kind = TypeVar("Kind")


class ConfigurationState:
    """Merges what is read into one store and builds views of it.

    :ivar view: the configuration in force.
    :ivar refused: records that are refused now, by name.
    """

    def __init__(self, *, observe: Observe = ignore_event) -> None:
        self.view = ConfigurationView()
        self.store = RecordStore()
        self.observe = observe
        self.unreadable: dict[str, RecordRefused] = {}
        self.duplicates: dict[str, RecordRefused] = {}
        self._keys: tuple[Key, ...] = ()
        self._seen: dict[str, int] = {}

    @property
    def refused(self) -> dict[str, RecordRefused]:
        """Records that are refused now, with the reasons, by name."""
        refused = (*self.unreadable.values(), *self.duplicates.values())
        return {entry.name: entry for entry in refused}

    def apply_records(self, published: Iterable[PublishedRecord]) -> bool:
        """Merge published records; an invalid one leaves the last good in force.

        :return: True when a new view is in force.
        """
        changed = False
        for entry in published:
            content = hash(entry.document)
            if self._seen.get(entry.name) != content:
                self._seen[entry.name] = content
                changed |= self._apply_document(entry)
        return changed and self._rebuild()

    def apply_instances(self, instances: Iterable[Instance]) -> bool:
        """Replace the instance list.

        :return: True when a new view is in force.
        """
        by_id = {instance.id: instance for instance in instances}
        if by_id == self.view.instances:
            return False
        self._set_view(attrs.evolve(self.view, instances=by_id))
        return True

    def _apply_document(self, entry: PublishedRecord) -> bool:
        try:
            record = parse_record(entry.document, name=entry.name)
        except RecordError as error:
            refused = RecordRefused(name=error.name, problems=error.problems)
            self.unreadable[entry.name] = refused
            self.observe(refused)
            return False
        self.unreadable.pop(entry.name, None)
        return self._apply_record(record)

    def _apply_record(self, record: Record) -> bool:
        outcome = self.store.apply(record)
        match outcome:
            case Applied():
                return True
            case Conflict(kept=kept, dropped=dropped):
                self.observe(
                    RevisionConflict(
                        name=f"{kept.kind}/{kept.id}",
                        revision=kept.revision,
                        kept=kept.digest,
                        dropped=dropped.digest,
                    )
                )
                return kept is record
            case _:
                return False

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
        """Derive keys only when they changed: it costs and changes identity."""
        if keys == self._keys:
            return self.view.keys
        self._keys = keys
        return KeyRing.from_keys(keys)

    def _set_view(self, view: ConfigurationView) -> None:
        self.view = attrs.evolve(view, version=self.view.version + 1)
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
