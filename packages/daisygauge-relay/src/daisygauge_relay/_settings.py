"""Settings of balancers and agents of relayed flows: JSON with comments."""

from __future__ import annotations

import math
import socket
from typing import Any

import msgspec
from msgspec import Struct

MAX_PORT = 65_535
DRAIN_SHARE = 0.87
"""Share of the grace period that draining may use; closing needs the rest."""
EVERY_ROUTE = "*"
"""Stands for the address of every route."""
NARROW_LINK_MEGABITS = 50.0
"""Links below this are narrow. A configuration of 2,000 routes is 0.5 MB at the
platform and takes 0.08 s on a link of this rate."""


class RelaySettingsError(ValueError):
    """A settings file can't be used; the message names the field and the remedy."""


class Address(Struct, kw_only=True, frozen=True):
    """An IPv4 address with a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse an address such as ``10.1.0.10:7720``.

    :raises ValueError: the text isn't an IPv4 address with a port.
    """
    host, _, port = text.rpartition(":")
    check_host(host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r}: port must be from 1 to {MAX_PORT}")
    return Address(host=host, port=int(port))


def check_host(text: str) -> None:
    """Check a dotted IPv4 address.

    :raises ValueError: the text isn't a dotted IPv4 address.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except OSError as error:
        raise ValueError(f"{text!r}: not a dotted IPv4 address") from error


class RelaySettings(Struct, kw_only=True, frozen=True):
    """Settings that both roles share; addresses are written ``10.1.0.10:7720``.

    :param id: name of this instance.
    :param host: IPv4 address of this instance.
    :param client_address: an address with the UDP port on which every client receives
        packets.
    :param ready: address of the readiness page, which the platform requests.
    :param inner_ports: first and last port that instances may use between each other;
        equal on all.
    :param platform: address of the platform's store.
    :param first_peers: addresses of instances to query while the platform is
        unavailable.
    :param first_start: True when the whole system starts for the first time.
    :param flow_seconds: idle time after which an agent removes a flow.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param link_megabits: bandwidth of the instance's link in Mbit/s.
    :param log_delay_seconds: time after the start before log lines are written; those
        of a process that is killed earlier are lost.
    """

    id: str
    region: str
    failure_domain: str
    host: str
    client_address: str
    ready: str
    inner_ports: tuple[int, int]
    platform: str
    first_peers: tuple[str, ...] = ()
    first_start: bool = False
    flow_seconds: float = 60.0
    grace_seconds: float = 6.0
    link_megabits: float = 1_000.0
    log_delay_seconds: float = 3.0

    def __post_init__(self) -> None:
        check_host(self.host)
        first, last = self.inner_ports
        if not 0 < first < last <= MAX_PORT:
            raise ValueError(
                "inner_ports: give two ports in rising order, such as [7720, 7735]"
            )
        if self.log_delay_seconds < 0.0:
            raise ValueError("log_delay_seconds: give a time of 0 or more")
        for text in (self.client_address, self.ready, self.platform, *self.first_peers):
            parse_address(text)

    @property
    def outer(self) -> Address:
        """Address on which the role receives packets of clients or the upstream."""
        raise NotImplementedError

    @property
    def max_drain_seconds(self) -> float:
        """Longest time that a stopping process may drain."""
        return self.grace_seconds * DRAIN_SHARE

    @property
    def has_narrow_link(self) -> bool:
        """True when a whole configuration takes long to transfer."""
        return self.link_megabits < NARROW_LINK_MEGABITS

    @property
    def client_port(self) -> int:
        """UDP port on which every client receives packets."""
        return parse_address(self.client_address).port

    @property
    def inner_port(self) -> int:
        """UDP port of frames between balancers and agents."""
        return self.inner_ports[0]

    @property
    def peer_port(self) -> int:
        """TCP port on which a process serves its directory to peers."""
        return self.inner_ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """TCP port of the metrics page."""
        return self.inner_ports[0] + 2


class RelayBalancerSettings(RelaySettings, kw_only=True, frozen=True):
    """Settings of a balancer.

    :param ingress: address to which the fabric sends clients' packets.
    """

    ingress: str

    def __post_init__(self) -> None:
        RelaySettings.__post_init__(self)
        parse_address(self.ingress)

    @property
    def outer(self) -> Address:
        """Address to which the fabric sends clients' packets."""
        return parse_address(self.ingress)


class RelayAgentSettings(RelaySettings, kw_only=True, frozen=True):
    """Settings of an agent.

    :param service: name of the service of the upstream on the agent's instance.
    :param upstream: address on which the upstream receives packets.
    :param outbound: address to which the upstream sends its packets.
    :param fixed_weight_routes: addresses of split routes whose flows never overflow to
        another service, such as that of a canary; ``*`` stands for every route.
    :param evacuation_milliseconds: time within which an evacuation must be in force,
        or 0 for no limit. With a limit, the agent takes no flow before it has read the
        directory.
    :param cold_rate_factor: opening packets a second that a cold host gets, for each
        request a second that it can handle.
    :param cold_rate_slack: opening packets a second that it gets in addition.
    """

    service: str
    upstream: str
    outbound: str
    fixed_weight_routes: tuple[str, ...] = ()
    evacuation_milliseconds: float = 0.0
    cold_rate_factor: float = 1.0
    cold_rate_slack: float = 0.0

    def __post_init__(self) -> None:
        RelaySettings.__post_init__(self)
        if self.evacuation_milliseconds < 0.0:
            raise ValueError("evacuation_milliseconds: give a time of 0 or more")
        if not 0.0 < self.cold_rate_factor < math.inf:
            raise ValueError("cold_rate_factor: give a number above 0, such as 1.5")
        if not 0.0 <= self.cold_rate_slack < math.inf:
            raise ValueError("cold_rate_slack: give a number of 0 or more")
        parse_address(self.upstream)
        parse_address(self.outbound)
        for text in self.fixed_weight_routes:
            if text != EVERY_ROUTE:
                parse_address(text)

    @property
    def outer(self) -> Address:
        """Address to which the upstream sends its packets."""
        return parse_address(self.outbound)


def load_relay_settings(path: str, model: type[RelaySettings]) -> RelaySettings:
    """Read the settings file of a role.

    :param model: class of the role's settings.
    :raises RelaySettingsError: the file can't be used; the message names the file, the
        fault and the remedy.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, ValueError) as error:
        raise RelaySettingsError(f"{path}: {error}; name a readable file") from error
    return parse_relay_settings(text, model, name=path)


def parse_relay_settings(
    text: str, model: type[RelaySettings], *, name: str
) -> RelaySettings:
    """Parse the settings of a role; unknown fields are ignored.

    :param model: class of the role's settings.
    :param name: name of the document in errors.
    :raises RelaySettingsError: the text is invalid; the message names the document, the
        fault and the remedy.
    """
    try:
        return msgspec.convert(decode_document(text), model)
    except ValueError as error:
        raise RelaySettingsError(
            f"{name}: {error}; see the settings in docs/operations/relayed.md"
        ) from error


def decode_document(text: str) -> Any:
    """Parse JSON with or without comments.

    :raises ValueError: the text is neither.
    """
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        # Files that the platform fills in have no comments, so most processes needn't
        # load the second parser.
        import pyjson5

        try:
            return pyjson5.decode(text)
        except pyjson5.Json5Exception as error:
            raise ValueError(f"not JSON with comments: {error}") from error
