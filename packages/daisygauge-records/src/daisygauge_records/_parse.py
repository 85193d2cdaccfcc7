"""Parsing of published records into the effective model."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import orjson

from ._errors import InvalidValueError, Problem, RecordError
from ._models import Key, Record, Service, Spec, Upstream
from ._rules import is_id
from ._schema_1 import SCHEMA_1_FIELDS, Key1, Service1, Upstream1, convert
from ._structure import structure
from ._unstructure import unstructure

KINDS: dict[str, type] = {"service": Service, "upstream": Upstream, "key": Key}
SCHEMA_1: dict[str, type] = {"service": Service1, "upstream": Upstream1, "key": Key1}
SCHEMA_VERSIONS = (1, 2)
MAX_REVISION = 2**63 - 1
DIGEST_BYTES = 16


@attrs.frozen(kw_only=True)
class Envelope:
    """Fields of a published record that don't depend on kind and schema version."""

    kind: str
    id: str
    schema_version: int
    revision: int
    deleted: bool = False
    spec: Any = None


def parse_record(document: bytes | str, *, name: str = "record") -> Record:
    """Parse a published record.

    :param document: JSON text.
    :param name: name of the record in messages while kind and ID are unknown.
    :raises RecordError: the record is invalid; names every invalid field and its
        remedy.
    """
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        problem = Problem(path="$", message=str(error), remedy="publish valid JSON")
        raise RecordError(name=name, problems=[problem]) from None
    return parse_record_value(value, name=name)


def parse_record_value(value: object, *, name: str = "record") -> Record:
    """Parse a published record from decoded JSON.

    :param name: name of the record in messages while kind and ID are unknown.
    :raises RecordError: the record is invalid; names every invalid field and its
        remedy.
    """
    try:
        envelope = _parse_envelope(value)
    except InvalidValueError as error:
        raise RecordError(name=name, problems=error.problems) from None
    name = f"{envelope.kind}/{envelope.id}"
    try:
        spec = None if envelope.deleted else _parse_spec(envelope)
        return Record(
            kind=envelope.kind,
            id=envelope.id,
            revision=envelope.revision,
            spec=spec,
            digest=_compute_digest(envelope),
            document=_encode_canonical(attrs.asdict(envelope, recurse=False)),
        )
    except InvalidValueError as error:
        raise RecordError(name=name, problems=error.problems) from None


def _parse_envelope(value: object) -> Envelope:
    envelope = structure(value, Envelope)
    checks = (
        ("kind", envelope.kind in KINDS, f"use one of {sorted(KINDS)}"),
        ("id", is_id(envelope.id), "use 1 to 63 letters, digits, '.', '_' or '-'"),
        (
            "schema_version",
            envelope.schema_version in SCHEMA_VERSIONS,
            f"use one of {list(SCHEMA_VERSIONS)}, or update the fleet first",
        ),
        (
            "revision",
            1 <= envelope.revision <= MAX_REVISION,
            "count up from 1 with every change",
        ),
    )
    problems = [
        Problem(
            path=path,
            message=f"{getattr(envelope, path)!r} is not acceptable",
            remedy=remedy,
        )
        for path, is_valid, remedy in checks
        if not is_valid
    ]
    if problems:
        raise InvalidValueError(problems)
    return envelope


def _parse_spec(envelope: Envelope) -> Spec:
    match envelope.schema_version:
        case 1:
            return _parse_schema_1(envelope)
        case _:
            return _parse_schema_2(envelope)


def _parse_schema_2(envelope: Envelope) -> Spec:
    spec = envelope.spec
    model = KINDS[envelope.kind]
    if isinstance(spec, dict) and "id" in spec:
        raise InvalidValueError.of(
            "the field is unknown",
            remedy="write the id beside kind and revision, not in the spec",
            path="spec.id",
        )
    value = {**spec, "id": envelope.id} if isinstance(spec, dict) else spec
    return structure(value, model, path="spec")


def _parse_schema_1(envelope: Envelope) -> Spec:
    flat_spec = structure(envelope.spec, SCHEMA_1[envelope.kind], path="spec")
    try:
        converted = convert(id=envelope.id, spec=flat_spec)
        return structure(unstructure(converted), type(converted))
    except InvalidValueError as error:
        raise InvalidValueError(
            [_restore_schema_1_path(problem) for problem in error.problems]
        ) from None


def _restore_schema_1_path(problem: Problem) -> Problem:
    for effective, original in SCHEMA_1_FIELDS.items():
        if problem.path == effective or problem.path.endswith(f".{effective}"):
            path = problem.path.removesuffix(effective) + original
            return attrs.evolve(problem, path=f"spec.{path}")
    return attrs.evolve(problem, path=f"spec.{problem.path}")


def _encode_canonical(value: object) -> bytes:
    try:
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONEncodeError as error:
        raise InvalidValueError.of(
            str(error), remedy="use numbers of 64 bits and valid text", path="$"
        ) from None


def _compute_digest(envelope: Envelope) -> str:
    content = [
        envelope.kind,
        envelope.id,
        envelope.schema_version,
        envelope.deleted,
        None if envelope.deleted else envelope.spec,
    ]
    return hashlib.blake2b(
        _encode_canonical(content), digest_size=DIGEST_BYTES
    ).hexdigest()
