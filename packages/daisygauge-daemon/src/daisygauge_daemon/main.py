"""Entry point of ``daisygauged``."""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence

import aiomisc
import uvloop
from absl import flags
from prometheus_client import CollectorRegistry

from daisygauge_control import ALL_SERVICES, Member, create_configuration_source
from daisygauge_records import Role as InstanceRole, SettingsError

from ._command_line import MisuseError, new_flags, parse_flags, report_misuse
from ._configuration import ConfigurationObserver
from ._events import write_events_to
from ._runtime import EXIT_FAILED, Role, Runtime, create_log, new_incarnation, run_role
from ._settings import AgentSettings, BalancerSettings, Settings
from ._settings_file import load_settings

USAGE = """usage: daisygauged --settings=FILE

Runs one balancer or one agent, as the settings file says. SIGTERM drains it.
Exit codes: 0 stopped and drained, 1 failed, 2 misuse or unusable settings.
"""


def define_flags() -> flags.FlagValues:
    """Define the flags of ``daisygauged``."""
    values = new_flags()
    flags.DEFINE_string(
        "settings",
        None,
        "JSON file with comments that holds the settings of this process.",
        flag_values=values,
    )
    return values


def read_command_line(arguments: Sequence[str]) -> Settings | None:
    """Read the settings that the command line names.

    :return: None when ``--help`` was given.
    :raises MisuseError: the command line or the settings are invalid.
    """
    values = define_flags()
    rest = parse_flags(values, arguments)
    if values.help:
        print(USAGE + values.get_help())
        return None
    if rest:
        raise MisuseError(f"unexpected argument {rest[0]!r}; give only --settings=FILE")
    if values.settings is None:
        raise MisuseError("no settings file; give --settings=FILE")
    try:
        return load_settings(values.settings)
    except SettingsError as error:
        raise MisuseError(str(error)) from error


def create_role(runtime: Runtime) -> Role:
    """Create the balancer or the agent that the settings describe."""
    match runtime.settings:
        case BalancerSettings():
            from ._balancer import Balancer

            return Balancer(runtime=runtime)
        case AgentSettings():
            from ._agent import Agent

            return Agent(runtime=runtime)


def describe_member(settings: Settings) -> Member:
    """Return this daemon as a member; an agent follows one service, a balancer all."""
    match settings:
        case AgentSettings():
            service = settings.service
        case BalancerSettings():
            service = ALL_SERVICES
    return Member(
        id=settings.id,
        role=InstanceRole(settings.role),
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=service,
    )


def serve(settings: Settings) -> int:
    """Run the daemon on an event loop of its own.

    :return: the exit code.
    :raises OSError: an address can't be bound.
    """
    log = create_log(settings)
    registry = CollectorRegistry()
    observer = ConfigurationObserver(log=log, registry=registry)
    source = create_configuration_source(
        platform=settings.platform,
        member=describe_member(settings),
        observe=observer,
    )
    observer.export_budget(source.budget, registry=registry)
    runtime = Runtime(
        settings=settings,
        source=source,
        incarnation=new_incarnation(now=time.time()),
        log=log,
        registry=registry,
    )
    with aiomisc.entrypoint(
        runtime.operations_service(),
        log_config=False,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
    ) as loop:
        role = create_role(runtime)
        return loop.run_until_complete(run_role(role=role, runtime=runtime))


def run() -> None:
    """Run the daemon with the settings of the command line and exit."""
    try:
        settings = read_command_line(sys.argv)
    except MisuseError as error:
        raise SystemExit(report_misuse(error)) from None
    if settings is None:
        raise SystemExit(0)
    write_events_to(sys.stdout)
    try:
        raise SystemExit(serve(settings))
    except OSError as error:
        print(f"{error}; free the address or change the settings", file=sys.stderr)
        raise SystemExit(EXIT_FAILED) from error
