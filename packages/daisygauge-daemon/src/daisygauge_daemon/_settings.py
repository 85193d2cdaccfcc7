"""Settings of a process, read from a JSON file with comments."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Any

from attrs import Attribute, field, frozen, validators

DEFAULT_HEALTH_PATH = "/health"
DEFAULT_LOAD_PATH = "/load"
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_PORT = 65_535


def _check_host(instance: Any, attribute: Attribute, value: str) -> None:
    try:
        IPv4Address(value)
    except ValueError as error:
        raise ValueError(f"{attribute.name}: not a dotted IPv4 address") from error


def _check_port(instance: Any, attribute: Attribute, value: int) -> None:
    if not 0 < value <= MAX_PORT:
        raise ValueError(f"{attribute.name}: not a port from 1 to {MAX_PORT}")


@frozen(kw_only=True)
class LogSettings:
    """Settings of the log.

    :param level: events below this level are left out.
    """

    level: str = field(default="info", validator=validators.in_(LOG_LEVELS))


@frozen(kw_only=True)
class UpstreamSettings:
    """Address and paths of the host that an agent forwards requests to.

    :param health_path: path that answers 200 while the host takes requests.
    :param load_path: path of the host's own load report.
    """

    host: str = field(validator=_check_host)
    port: int = field(validator=_check_port)
    health_path: str = DEFAULT_HEALTH_PATH
    load_path: str = DEFAULT_LOAD_PATH


@frozen(kw_only=True)
class TlsSettings:
    """PEM files of the certificate that callers receive and of its key."""

    certificate: str
    private_key: str


@frozen(kw_only=True)
class DaemonSettings:
    """Settings that both roles share.

    :param id: instance id, equal to that in the platform's instance list.
    :param host: IPv4 address of the inner, peer and metrics sockets.
    :param inner_port: UDP port for datagrams between balancers and agents.
    :param peer_port: TCP port for calls between daemons.
    :param metrics_port: TCP port of ``/metrics``, ``/ready`` and ``/live``.
    :param platform: base URLs of the platform's configuration service.
    """

    id: str
    region: str
    failure_domain: str
    host: str = field(validator=_check_host)
    inner_port: int = field(validator=_check_port)
    peer_port: int = field(validator=_check_port)
    metrics_port: int = field(validator=_check_port)
    platform: tuple[str, ...]
    log: LogSettings = field(factory=LogSettings)


@frozen(kw_only=True)
class BalancerSettings(DaemonSettings):
    """Settings of a balancer.

    :param outer_host: address on which the service ports are bound; None binds
        each service's own address.
    """

    role: str = field(validator=validators.in_(("balancer",)))
    outer_host: str | None = field(
        default=None, validator=validators.optional(_check_host)
    )


@frozen(kw_only=True)
class AgentSettings(DaemonSettings):
    """Settings of an agent.

    :param service: id of the one service that the agent serves.
    """

    role: str = field(validator=validators.in_(("agent",)))
    service: str
    upstream: UpstreamSettings
    tls: TlsSettings


Settings = BalancerSettings | AgentSettings
