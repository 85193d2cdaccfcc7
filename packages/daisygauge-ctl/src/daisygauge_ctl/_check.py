"""``daisygaugectl check``: validates record files offline."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterator, Sequence
from pathlib import Path

import json5
from absl import flags
from attrs import frozen

from daisygauge_daemon import MisuseError
from daisygauge_records import (
    DocumentError,
    Record,
    Service,
    Upstream,
    parse_record_value,
    unstructure,
)

from ._command import EXIT_OK, EXIT_PROBLEM, Command

DESCRIPTION = """
Validates records without a fleet. A FILE holds one record or a list of records as
JSON, comments allowed. Prints the effective model of each valid record, and every
problem with its field and remedy. With --against it also prints what would change
and whether the revision is high enough to take effect.

Exit codes: 0 all records are valid, 1 a record is refused or would not take
effect, 2 misuse.
"""


@frozen(kw_only=True)
class CheckedRecords:
    """The valid records of some files, and the problems of the others.

    :param records: valid records by ``kind/id``.
    :param problems: one message for each problem, with its remedy.
    """

    records: dict[str, Record]
    problems: tuple[str, ...]


def read_values(path: str) -> Iterator[tuple[str, object]]:
    """Yield the unparsed records of a file, each with a name for messages.

    :raises MisuseError: the file is unreadable or is not valid JSON.
    """
    try:
        value = json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise MisuseError(f"{path}: {error}; name a file of JSON records") from error
    if not isinstance(value, list):
        yield path, value
        return
    for index, item in enumerate(value):
        yield f"{path}[{index}]", item


def read_records(paths: Sequence[str]) -> CheckedRecords:
    """Read and validate the records of some files.

    :raises MisuseError: a file is unreadable or is not valid JSON.
    """
    records: dict[str, Record] = {}
    problems = []
    for path in paths:
        for name, value in read_values(path):
            try:
                record = parse_record_value(value, name=name)
            except DocumentError as error:
                problems += [f"{error.name}: {problem}" for problem in error.problems]
                continue
            key = f"{record.kind}/{record.id}"
            if key in records:
                problems.append(f"{name}: {key} is given twice; remove one of them")
            records[key] = record
    return CheckedRecords(records=records, problems=tuple(problems))


def find_conflicts(records: dict[str, Record]) -> list[str]:
    """Return the conflicts between records that are valid one by one.

    :return: one message for each number or address that two services share, and for
        each upstream whose service is missing.
    """
    specs = {key: record.spec for key, record in records.items()}
    services = {key: spec for key, spec in specs.items() if isinstance(spec, Service)}
    problems = []
    for label, get_value in (
        ("number", lambda service: service.number),
        ("address", lambda service: service.address),
    ):
        seen: dict[object, str] = {}
        for key, service in sorted(services.items()):
            other = seen.setdefault(get_value(service), key)
            if other != key:
                problems.append(
                    f"{key}: {label} {get_value(service)} is that of {other}; "
                    "choose another"
                )
    names = {service.id for service in services.values()}
    for key, spec in sorted(specs.items()):
        if isinstance(spec, Upstream) and names and spec.service not in names:
            problems.append(
                f"{key}: no service {spec.service!r} in these files; "
                "correct the name or add its record"
            )
    return problems


def format_model(record: Record | None) -> str:
    """Return the effective model of a record as JSON, or an empty text for None."""
    if record is None:
        return ""
    if record.spec is None:
        return "deleted\n"
    return json.dumps(unstructure(record.spec), indent=2, sort_keys=True) + "\n"


def describe_change(key: str, *, old: Record | None, new: Record) -> str:
    """Return the change that publishing a record would make, as a unified diff."""
    lines = difflib.unified_diff(
        format_model(old).splitlines(keepends=True),
        format_model(new).splitlines(keepends=True),
        fromfile=f"{key} revision {old.revision if old else 'none'}",
        tofile=f"{key} revision {new.revision}",
    )
    return "".join(lines) or f"{key}: no change\n"


def find_outdated(records: dict[str, Record], current: dict[str, Record]) -> list[str]:
    """Return a message for each record whose revision is too low to take effect."""
    return [
        f"{key}: revision {record.revision} does not take effect over "
        f"{current[key].revision}; publish revision {current[key].revision + 1}"
        for key, record in sorted(records.items())
        if key in current
        and record.revision <= current[key].revision
        and record.digest != current[key].digest
    ]


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of ``check``."""
    flags.DEFINE_multi_string(
        "against",
        [],
        "File of records now in force; may be given more than once.",
        flag_values=values,
    )
    flags.DEFINE_boolean("quiet", False, "Print only problems.", flag_values=values)


def check_files(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Check the files named as arguments and print the result.

    :return: the exit code.
    :raises MisuseError: no file is named, or a file is unreadable or not valid JSON.
    """
    if not arguments:
        raise MisuseError("no file to check; name at least one FILE")
    checked = read_records(arguments)
    current = read_records(values.against)
    problems = [*current.problems, *checked.problems]
    problems += find_conflicts(current.records | checked.records)
    problems += find_outdated(checked.records, current.records)
    if not values.quiet:
        for key, record in sorted(checked.records.items()):
            if values.against:
                print(describe_change(key, old=current.records.get(key), new=record))
            else:
                print(f"{key} revision {record.revision}\n{format_model(record)}")
    for problem in problems:
        print(problem)
    print(f"{len(checked.records)} valid, {len(problems)} problems")
    return EXIT_PROBLEM if problems else EXIT_OK


CHECK = Command(
    name="check",
    summary="validate records offline and show what they mean",
    arguments="FILE...",
    description=DESCRIPTION,
    define_flags=define_flags,
    handler=check_files,
)
