"""Settings of a process that carries relayed flows: JSON with comments."""

from __future__ import annotations

import socket
from typing import Any

import msgspec
from msgspec import Struct

MAX_PORT = 65_535
GRACE_SHARE = 0.87
"""Part of the grace period that draining may use; closing needs the rest."""
NARROW_MEGABITS = 50.0
"""A configuration of 2,000 routes is 0.5 MB at the platform: 0.08 s on such a link."""


class RelaySettingsError(ValueError):
    """A settings file can't be used; the message names the field and the remedy."""


class Address(Struct, kw_only=True, frozen=True):
    """An IPv4 address with a port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Read an address such as ``10.1.0.10:7720``.

    :raises ValueError: the text is no such address.
    """
    host, _, port = text.rpartition(":")
    check_host(host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r}: no port from 1 to {MAX_PORT}")
    return Address(host=host, port=int(port))


def check_host(text: str) -> None:
    """Check a dotted IPv4 address.

    :raises ValueError: the text is none.
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except OSError as error:
        raise ValueError(f"{text!r}: no dotted IPv4 address") from error


class RelaySettings(Struct, kw_only=True, frozen=True):
    """What both roles share; addresses are written ``10.1.0.10:7720``.

    :param id: name of this instance.
    :param host: IPv4 address of this instance.
    :param client_address: an address whose UDP port is that at which every client
        takes packets.
    :param ready: where the platform asks whether this process wants traffic.
    :param inner_ports: first and last port open between instances; equal on all.
    :param platform: the platform's store.
    :param first_peers: instances that may be asked while the platform is away.
    :param first_start: True when the whole system starts for the first time.
    :param flow_seconds: age at which a flow may be forgotten.
    :param grace_seconds: time from SIGTERM to SIGKILL.
    :param link_megabits: what the instance's link carries, in Mbit/s.
    :param log_delay_seconds: time after the start before lines are written; those of
        a process that is killed sooner are lost.
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
            raise ValueError("inner_ports: give two rising ports, such as [7720, 7735]")
        if self.log_delay_seconds < 0.0:
            raise ValueError("log_delay_seconds: give a time of 0 or more")
        for text in (self.client_address, self.ready, self.platform, *self.first_peers):
            parse_address(text)

    @property
    def outer(self) -> Address:
        """Where the role takes packets that are no frames of other instances."""
        raise NotImplementedError

    @property
    def longest_drain_seconds(self) -> float:
        """Time that a stopping process may take for what it has begun."""
        return self.grace_seconds * GRACE_SHARE

    @property
    def has_narrow_link(self) -> bool:
        """True where whole configurations take long to arrive."""
        return self.link_megabits < NARROW_MEGABITS

    @property
    def client_port(self) -> int:
        """UDP port at which every client takes packets."""
        return parse_address(self.client_address).port

    @property
    def inner_port(self) -> int:
        """UDP port of frames between balancers and agents."""
        return self.inner_ports[0]

    @property
    def peer_port(self) -> int:
        """TCP port at which a process tells its peers what it knows."""
        return self.inner_ports[0] + 1

    @property
    def metrics_port(self) -> int:
        """TCP port of the metrics page."""
        return self.inner_ports[0] + 2


class RelayBalancerSettings(RelaySettings, kw_only=True, frozen=True):
    """Settings of a balancer.

    :param ingress: where the fabric sends clients' packets.
    """

    ingress: str

    def __post_init__(self) -> None:
        RelaySettings.__post_init__(self)
        parse_address(self.ingress)

    @property
    def outer(self) -> Address:
        """Where the fabric sends clients' packets."""
        return parse_address(self.ingress)


class RelayAgentSettings(RelaySettings, kw_only=True, frozen=True):
    """Settings of an agent.

    :param service: the service that the upstream beside the agent belongs to.
    :param upstream: where the upstream takes packets.
    :param outbound: where the upstream sends its packets.
    """

    service: str
    upstream: str
    outbound: str

    def __post_init__(self) -> None:
        RelaySettings.__post_init__(self)
        parse_address(self.upstream)
        parse_address(self.outbound)

    @property
    def outer(self) -> Address:
        """Where the upstream sends its packets."""
        return parse_address(self.outbound)


def load_relay_settings(path: str, model: type[RelaySettings]) -> RelaySettings:
    """Read the settings file of a role.

    :raises RelaySettingsError: naming the file, the fault and the remedy.
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
    """Check a document against the settings of a role; unknown fields are ignored.

    :raises RelaySettingsError: naming the file, the fault and the remedy.
    """
    try:
        return msgspec.convert(decode_document(text), model)
    except ValueError as error:
        raise RelaySettingsError(
            f"{name}: {error}; see the settings in docs/operations/relayed.md"
        ) from error


def decode_document(text: str) -> Any:
    """Read JSON, with comments if there are any.

    :raises ValueError: the text is neither.
    """
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        # Files that the platform fills in have no comments and need no second reader.
        import pyjson5

        try:
            return pyjson5.decode(text)
        except pyjson5.Json5Exception as error:
            raise ValueError(f"no JSON with comments: {error}") from error
