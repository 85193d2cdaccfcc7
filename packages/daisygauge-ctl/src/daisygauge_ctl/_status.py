"""``daisygaugectl status``: shows how far the configuration has propagated."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence

from absl import flags
from google.protobuf.json_format import MessageToDict

from daisygauge_control import (
    NoAnswerError,
    PlatformUnavailableError,
    fetch_status,
)
from daisygauge_daemon import MisuseError
from daisygauge_wire.control_pb2 import DomainStatus, MemberStatus, StatusAnswer

from ._command import EXIT_OK, EXIT_PROBLEM, Command

BALANCER = "balancer"


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of ``status``."""
    flags.DEFINE_list(
        "platform",
        None,
        "Base addresses of the platform, such as http://10.0.0.2:8500.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "daemon",
        None,
        "Instance id of the daemon to ask; any balancer when absent.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "format", "text", ["text", "json"], "How to print it.", flag_values=values
    )


def is_behind(member: MemberStatus) -> bool:
    """Return whether a daemon lacks a change that its peer has, or is not ready."""
    return member.behind_seconds > 0.0 or not member.report.ready


def has_converged(status: StatusAnswer) -> bool:
    """Return whether every listed daemon has the whole configuration in force."""
    return not any(
        domain.unseen or any(map(is_behind, domain.members))
        for domain in status.domains
    )


def format_member(member: MemberStatus) -> list[str]:
    """Return lines for a daemon that is behind or refuses records, none for others."""
    lines = []
    if is_behind(member):
        lines.append(
            f"    behind: {member.member} ({member.role}), "
            f"{member.behind_seconds:.1f} s, ready: {member.report.ready}"
        )
    for refusal in member.report.refused:
        reasons = "; ".join(refusal.reasons)
        lines.append(f"    refused by {member.member}: {refusal.name}: {reasons}")
    return lines


def format_domain(domain: DomainStatus) -> list[str]:
    """Return the lines for a failure domain.

    The field ``seats`` holds its watchers, the processes that watch the platform on
    behalf of others.
    """
    revisions = [
        member.report.revision for member in domain.members if member.role == BALANCER
    ]
    lowest = min(revisions) if revisions else "no balancer"
    lines = [
        f"{domain.failure_domain}: lowest revision sum of its balancers {lowest}, "
        f"{len(domain.members)} daemons, told by {', '.join(domain.seats) or 'nobody'}"
    ]
    for member in domain.members:
        lines += format_member(member)
    lines += [f"    not heard of: {id}" for id in domain.unseen]
    return lines


def format_text(status: StatusAnswer) -> str:
    """Return the whole status as text."""
    lines = [line for domain in status.domains for line in format_domain(domain)]
    verdict = "converged" if has_converged(status) else "not converged"
    return "\n".join([*lines, verdict])


def format_json(status: StatusAnswer) -> str:
    """Return the whole status as JSON."""
    return json.dumps(MessageToDict(status, preserving_proto_field_name=True), indent=2)


FORMATS = {"text": format_text, "json": format_json}


def print_status(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Print the status of the fleet as one daemon knows it.

    :return: 0 if the fleet has converged, 1 if not or if no daemon answers.
    :raises MisuseError: an argument is given, or no platform is named.
    """
    if arguments:
        raise MisuseError(f"unexpected argument {arguments[0]!r}; give only flags")
    if not values.platform:
        raise MisuseError("no platform; give --platform=http://HOST:PORT")
    try:
        status = asyncio.run(
            fetch_status(platform=values.platform, daemon=values.daemon)
        )
    except (NoAnswerError, PlatformUnavailableError) as error:
        print(error)
        return EXIT_PROBLEM
    print(FORMATS[values.format](status))
    return EXIT_OK if has_converged(status) else EXIT_PROBLEM


STATUS = Command(
    name="status",
    summary="show how far the configuration has come, as one daemon sees it",
    arguments="",
    description=(
        "Asks one daemon for the revisions in force in every failure domain, and for\n"
        "daemons that are behind, not heard of, or refuse records. It changes nothing."
    ),
    define_flags=define_flags,
    handler=print_status,
)
