"""Conversion between the models and the messages of the control protocol."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from daisygauge_records import Endpoint, Instance, Record, Role
from daisygauge_wire.control_pb2 import (
    Delta,
    FollowHello,
    HeldRecord,
    InstanceEntry,
    Refusal,
    Report,
)

from ._member import ALL_SERVICES, TOMBSTONES_GROUP, Member, is_wanted
from ._sealing import UnreadableMessageError
from ._state import ConfigurationState

MAX_HELD_RECORDS = 256
MAX_REFUSALS = 8
MAX_REASONS = 4
DOCUMENTS_PER_DELTA = 500


def make_hello(member: Member, state: ConfigurationState) -> FollowHello:
    """Return the hello to a peer: this daemon and the records that it holds."""
    hello = FollowHello(
        member=member.id,
        role=member.role.value,
        region=member.region,
        failure_domain=member.failure_domain,
        service=member.service,
    )
    records = state.store.records
    if len(records) > MAX_HELD_RECORDS:
        hello.buckets.extend(state.change_log.bucket_digests())
    else:
        hello.held.extend(_encode_held(record) for record in records.values())
    return hello


def _encode_held(record: Record) -> HeldRecord:
    return HeldRecord(
        kind=record.kind, id=record.id, revision=record.revision, digest=record.digest
    )


def read_member(hello: FollowHello) -> Member:
    """Return the daemon that sent a hello.

    :raises UnreadableMessageError: if the role is unknown.
    """
    return Member(
        id=hello.member,
        role=_read_role(hello.role),
        region=hello.region,
        failure_domain=hello.failure_domain,
        service=hello.service,
    )


def select_missing(hello: FollowHello, state: ConfigurationState) -> list[bytes]:
    """Return the documents that a follower lacks or holds with other content."""
    if hello.buckets:
        return _select_by_bucket(hello, state)
    held = {
        (entry.kind, entry.id): (entry.revision, entry.digest) for entry in hello.held
    }
    entries = state.change_log.entries
    found = []
    for id, record in state.store.records.items():
        # A record that has left the scope of the follower is sent if it still holds it.
        wanted = id in held or is_wanted(entries[id].group, service=hello.service)
        if wanted and held.get(id, (0, "")) < (record.revision, record.digest):
            found.append(record.document)
    return found


def _select_by_bucket(hello: FollowHello, state: ConfigurationState) -> list[bytes]:
    own = state.change_log.bucket_digests()
    theirs = list(hello.buckets)
    if len(theirs) != len(own):
        theirs = [0] * len(own)
    differing = [index for index, digest in enumerate(own) if digest != theirs[index]]
    ids = state.change_log.ids_in(differing)
    return [
        state.store.records[id].document
        for id in ids
        if _may_be_held(state.change_log.entries[id].groups, service=hello.service)
    ]


def _may_be_held(groups: frozenset[str], *, service: str) -> bool:
    """Return whether a follower needs a record, or may hold an older revision of it.

    A tombstone doesn't tell which group the record had when this process started.

    :param groups: every group that the record has had here.
    """
    was_deleted = TOMBSTONES_GROUP in groups
    return was_deleted or any(is_wanted(group, service=service) for group in groups)


def make_report(
    state: ConfigurationState, *, service: str = ALL_SERVICES, ready: bool
) -> Report:
    """Return the progress of this daemon with the records of a scope."""
    summary = state.change_log.summarize(service=service)
    refused = list(state.refused.values())[:MAX_REFUSALS]
    return Report(
        digest=summary.digest,
        revision=summary.revision,
        ready=ready,
        refused=[
            Refusal(
                name=entry.name,
                reasons=[str(problem) for problem in entry.problems[:MAX_REASONS]],
            )
            for entry in refused
        ],
    )


def split_documents(documents: list[bytes]) -> Iterator[Delta]:
    """Split documents into messages of bounded size; all but the last are partial."""
    for start in range(0, max(len(documents), 1), DOCUMENTS_PER_DELTA):
        end = start + DOCUMENTS_PER_DELTA
        yield Delta(documents=documents[start:end], partial=end < len(documents))


def encode_instance(instance: Instance) -> InstanceEntry:
    """Convert an instance into its message."""
    return InstanceEntry(
        id=instance.id,
        role=instance.role.value,
        host=instance.inner.host,
        port=instance.inner.port,
        peer_port=instance.peer_port,
        region=instance.region,
        failure_domain=instance.failure_domain,
        leaving=instance.leaving,
    )


def decode_instances(entries: Iterable[InstanceEntry]) -> dict[str, Instance]:
    """Convert messages into instances by id.

    :raises UnreadableMessageError: if a role is unknown.
    """
    return {
        entry.id: Instance(
            id=entry.id,
            role=_read_role(entry.role),
            inner=Endpoint(host=entry.host, port=entry.port),
            peer_port=entry.peer_port,
            region=entry.region,
            failure_domain=entry.failure_domain,
            leaving=entry.leaving,
        )
        for entry in entries
    }


def _read_role(text: str) -> Role:
    try:
        return Role(text)
    except ValueError:
        raise UnreadableMessageError(f"role {text!r} is unknown") from None
