"""``daisygaugectl check``: validates files of records and configurations offline."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import json5
from absl import flags
from attrs import frozen

from daisygauge_daemon import MisuseError
from daisygauge_platform import (
    ReadConfiguration,
    is_configuration,
    read_configuration,
    read_hosts,
)
from daisygauge_records import (
    DocumentError,
    Problem,
    Record,
    Service,
    Upstream,
    parse_record_value,
    unstructure,
)

from ._command import EXIT_OK, EXIT_PROBLEM, Command
from ._findings import Finding, Severity
from ._routing_check import RoutingCheck, describe_changes, find_outdated

DESCRIPTION = """
Validates records and platform configurations without a fleet. A FILE holds one
record, a list of records or a platform configuration as JSON, comments allowed.
Prints the effective model of each valid record, and every problem with its field
and remedy: what is refused, what can never match, and limits that contradict each
other. With --against it also prints what would change and whether the revision or
version is high enough to take effect.

Exit codes: 0 nothing was found, 1 only warnings, 2 errors or misuse.
"""
EXIT_ERRORS = 2


@frozen(kw_only=True)
class CheckedFiles:
    """What some files define, and what is wrong with them.

    :param records: valid records by ``kind/id``.
    :param configurations: usable platform configurations by file.
    """

    records: dict[str, Record]
    configurations: dict[str, ReadConfiguration]
    findings: tuple[Finding, ...]


def read_json(path: str) -> object:
    """Return the decoded JSON of a file.

    :raises MisuseError: the file is unreadable or is not valid JSON.
    """
    try:
        return json5.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise MisuseError(f"{path}: {error}; name a file of JSON records") from error
    except RecursionError as error:
        raise MisuseError(f"{path}: nested too deeply; write plain records") from error


def read_values(path: str) -> Iterator[tuple[str, object]]:
    """Yield the unparsed records of a file, each with a name for messages.

    :raises MisuseError: the file is unreadable or is not valid JSON.
    """
    value = read_json(path)
    if not isinstance(value, list):
        yield path, value
        return
    for index, item in enumerate(value):
        yield f"{path}[{index}]", item


def read_files(paths: Sequence[str]) -> CheckedFiles:
    """Read and validate the records and configurations of some files.

    :raises MisuseError: a file is unreadable or is not valid JSON.
    """
    records: dict[str, Record] = {}
    configurations: dict[str, ReadConfiguration] = {}
    findings: list[Finding] = []
    for path in paths:
        for name, value in read_values(path):
            if is_configuration(value):
                configuration = read_configuration(value)
                findings += make_findings(
                    Severity.ERROR, name, configuration.problems
                ) + make_findings(Severity.WARNING, name, configuration.remarks)
                if configuration.routing is not None:
                    configurations[name] = configuration
                continue
            try:
                record = parse_record_value(value, name=name)
            except DocumentError as error:
                findings += make_findings(Severity.ERROR, error.name, error.problems)
                continue
            key = f"{record.kind}/{record.id}"
            if key in records:
                findings.append(
                    make_error(
                        name, "id", f"{key} is given twice", "remove one of them"
                    )
                )
            records[key] = record
    return CheckedFiles(
        records=records, configurations=configurations, findings=tuple(findings)
    )


def make_findings(
    severity: Severity, source: str, problems: Iterable[Problem]
) -> list[Finding]:
    """Return a finding for each problem of one source."""
    return [
        Finding(severity=severity, source=source, problem=problem)
        for problem in problems
    ]


def make_error(source: str, field: str, message: str, remedy: str) -> Finding:
    """Return an error with one field."""
    problem = Problem(path=field, message=message, remedy=remedy)
    return Finding(severity=Severity.ERROR, source=source, problem=problem)


def find_conflicts(records: dict[str, Record]) -> list[Finding]:
    """Return the conflicts between records that are valid one by one.

    :return: an error for each number or address that two services share, and for
        each upstream whose service is missing.
    """
    specs = {key: record.spec for key, record in records.items()}
    services = {key: spec for key, spec in specs.items() if isinstance(spec, Service)}
    findings = []
    for label, get_value in (
        ("number", lambda service: service.number),
        ("address", lambda service: service.address),
    ):
        seen: dict[object, str] = {}
        for key, service in sorted(services.items()):
            other = seen.setdefault(get_value(service), key)
            if other != key:
                message = f"{label} {get_value(service)} is that of {other}"
                findings.append(make_error(key, label, message, "choose another"))
    names = {service.id for service in services.values()}
    for key, spec in sorted(specs.items()):
        if isinstance(spec, Upstream) and names and spec.service not in names:
            message = f"no service {spec.service!r} in these files"
            remedy = "correct the name or add its record"
            findings.append(make_error(key, "service", message, remedy))
    return findings


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


def find_outdated_records(
    records: dict[str, Record], current: dict[str, Record]
) -> list[Finding]:
    """Return a warning for each record whose revision is too low to take effect."""
    problems = {
        key: Problem(
            path="revision",
            message=f"revision {record.revision} does not take effect over "
            f"{current[key].revision}",
            remedy=f"publish revision {current[key].revision + 1}",
        )
        for key, record in sorted(records.items())
        if key in current
        and record.revision <= current[key].revision
        and record.digest != current[key].digest
    }
    return [
        Finding(severity=Severity.WARNING, source=key, problem=problem)
        for key, problem in problems.items()
    ]


def check_configurations(
    checked: CheckedFiles, current: CheckedFiles, *, hosted: frozenset[str] | None
) -> list[Finding]:
    """Return what is found in the configurations that the processes accept."""
    findings: list[Finding] = []
    in_force = list(current.configurations.values())
    for name, configuration in checked.configurations.items():
        check = RoutingCheck(configuration, hosted=hosted)
        findings += make_findings(Severity.ERROR, name, check.find_errors())
        warnings = check.find_warnings()
        for known in in_force:
            warnings += find_outdated(configuration, current=known)
        findings += make_findings(Severity.WARNING, name, warnings)
    return findings


def list_changes(checked: CheckedFiles, current: CheckedFiles) -> list[str]:
    """Return what publishing the files would change, or their effective models."""
    texts = []
    for name, configuration in checked.configurations.items():
        routing = configuration.routing
        texts.append(f"{name}: version {routing.version}, {len(routing.routes)} routes")
        for source, known in current.configurations.items():
            changes = describe_changes(configuration, current=known)
            texts.append("\n".join([f"changes against {source}:", *changes]))
    for key, record in sorted(checked.records.items()):
        if current.records or current.configurations:
            old = current.records.get(key)
            texts.append(describe_change(key, old=old, new=record))
        else:
            texts.append(f"{key} revision {record.revision}\n{format_model(record)}")
    return texts


def read_hosted(path: str | None) -> tuple[frozenset[str] | None, list[Finding]]:
    """Return the services that have a host, and what is wrong with the list.

    :raises MisuseError: the file is unreadable or is not valid JSON.
    """
    if path is None:
        return None, []
    hosts = read_hosts(read_json(path))
    return hosts.services, make_findings(Severity.WARNING, path, hosts.problems)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of ``check``."""
    flags.DEFINE_multi_string(
        "against",
        [],
        "File of what is in force now; may be given more than once.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "hosts",
        None,
        "File of the platform's entries of hosts by key, to find services without one.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "format", "text", ["text", "json"], "How to print it.", flag_values=values
    )
    flags.DEFINE_boolean("quiet", False, "Print only problems.", flag_values=values)


def check_files(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Check the files named as arguments and print the result.

    :return: the exit code.
    :raises MisuseError: no file is named, or a file is unreadable or not valid JSON.
    """
    if not arguments:
        raise MisuseError("no file to check; name at least one FILE")
    checked = read_files(arguments)
    current = read_files(values.against)
    hosted, findings = read_hosted(values.hosts)
    findings += [*current.findings, *checked.findings]
    findings += find_conflicts(current.records | checked.records)
    findings += find_outdated_records(checked.records, current.records)
    findings += check_configurations(checked, current, hosted=hosted)
    texts = [] if values.quiet else list_changes(checked, current)
    valid = len(checked.records) + len(checked.configurations)
    if values.format == "json":
        print(format_json(findings, texts, valid=valid))
    else:
        print(format_text(findings, texts, valid=valid))
    return choose_exit_code(findings)


def format_json(
    findings: Sequence[Finding], texts: Sequence[str], *, valid: int
) -> str:
    """Return the result as JSON."""
    result = {
        "valid": valid,
        "findings": [finding.to_json() for finding in findings],
        "changes": list(texts),
    }
    return json.dumps(result, indent=2)


def format_text(
    findings: Sequence[Finding], texts: Sequence[str], *, valid: int
) -> str:
    """Return the result for a terminal, with other characters escaped."""
    errors = sum(f.severity is Severity.ERROR for f in findings)
    count = f"{valid} valid, {errors} errors, {len(findings) - errors} warnings"
    text = "\n".join([*texts, *map(str, findings), count])
    return text.encode(errors="backslashreplace").decode()


def choose_exit_code(findings: Sequence[Finding]) -> int:
    """Return the exit code for the most serious finding."""
    if any(finding.severity is Severity.ERROR for finding in findings):
        return EXIT_ERRORS
    return EXIT_PROBLEM if findings else EXIT_OK


CHECK = Command(
    name="check",
    summary="validate records and configurations offline, show what they change",
    arguments="FILE...",
    description=DESCRIPTION,
    define_flags=define_flags,
    handler=check_files,
)
