"""Reading of published records into the effective model."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import orjson

from ._errors import InvalidValueError, Problem, RecordError
from ._models import Key, Record, Service, Spec, Upstream
from ._rules import is_id
from ._schema_1 import FIELD_NAMES, Key1, Service1, Upstream1, convert
from ._structure import structure
from ._unstructure import unstructure

KINDS: dict[str, type] = {"service": Service, "upstream": Upstream, "key": Key}
SCHEMA_1: dict[str, type] = {"service": Service1, "upstream": Upstream1, "key": Key1}
SCHEMA_VERSIONS = (1, 2)
MAX_REVISION = 2**63 - 1
DIGEST_BYTES = 16


@attrs.frozen(kw_only=True)
class Envelope:
    """What every published record has, whatever its kind and schema version."""

    kind: str
    id: str
    schema_version: int
    revision: int
    deleted: bool = False
    spec: Any = None


def parse_record(document: bytes | str, *, name: str = "record") -> Record:
    """Read a published record.

    :param document: JSON text.
    :param name: name for messages, until kind and id are known.
    :raises RecordError: naming the record, every field at fault and the remedy.
    """
    try:
        value = orjson.loads(document)
    except orjson.JSONDecodeError as error:
        problem = Problem(path="$", message=str(error), remedy="publish valid JSON")
        raise RecordError(name=name, problems=[problem]) from None
    return parse_record_value(value, name=name)


def parse_record_value(value: object, *, name: str = "record") -> Record:
    """Read a published record from JSON values.

    :raises RecordError: naming the record, every field at fault and the remedy.
    """
    try:
        envelope = _read_envelope(value)
    except InvalidValueError as error:
        raise RecordError(name=name, problems=error.problems) from None
    name = f"{envelope.kind}/{envelope.id}"
    try:
        spec = None if envelope.deleted else _read_spec(envelope)
        return Record(
            kind=envelope.kind,
            id=envelope.id,
            revision=envelope.revision,
            spec=spec,
            digest=_digest(envelope),
            document=_canonical(attrs.asdict(envelope, recurse=False)),
        )
    except InvalidValueError as error:
        raise RecordError(name=name, problems=error.problems) from None


def _read_envelope(value: object) -> Envelope:
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
        for path, holds, remedy in checks
        if not holds
    ]
    if problems:
        raise InvalidValueError(problems)
    return envelope


def _read_spec(envelope: Envelope) -> Spec:
    match envelope.schema_version:
        case 1:
            return _read_schema_1(envelope)
        case _:
            return _read_schema_2(envelope)


def _read_schema_2(envelope: Envelope) -> Spec:
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


def _read_schema_1(envelope: Envelope) -> Spec:
    flat = structure(envelope.spec, SCHEMA_1[envelope.kind], path="spec")
    try:
        converted = convert(id=envelope.id, spec=flat)
        return structure(unstructure(converted), type(converted))
    except InvalidValueError as error:
        raise InvalidValueError(
            [_name_schema_1_field(problem) for problem in error.problems]
        ) from None


def _name_schema_1_field(problem: Problem) -> Problem:
    for effective, flat in FIELD_NAMES.items():
        if problem.path == effective or problem.path.endswith(f".{effective}"):
            path = problem.path.removesuffix(effective) + flat
            return attrs.evolve(problem, path=f"spec.{path}")
    return attrs.evolve(problem, path=f"spec.{problem.path}")


def _canonical(value: object) -> bytes:
    try:
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except orjson.JSONEncodeError as error:
        raise InvalidValueError.of(
            str(error), remedy="use numbers of 64 bits and valid text", path="$"
        ) from None


def _digest(envelope: Envelope) -> str:
    content = [
        envelope.kind,
        envelope.id,
        envelope.schema_version,
        envelope.deleted,
        None if envelope.deleted else envelope.spec,
    ]
    return hashlib.blake2b(_canonical(content), digest_size=DIGEST_BYTES).hexdigest()
