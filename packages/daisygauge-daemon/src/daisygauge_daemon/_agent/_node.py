"""Identity, configuration, clock and inner socket shared by an agent's components."""

from __future__ import annotations

from aioquic.quic.packet import QuicProtocolVersion

from daisygauge_control import ConfigurationView
from daisygauge_records import Endpoint, Service, Upstream
from daisygauge_wire import Datagram, DerivedKeys, KeyRing, encode_datagram

from .._events import EventLog
from .._runtime import Runtime
from .._settings import AgentSettings
from ._model import HostIncarnation
from ._socket import InnerSocket

SUPPORTED_VERSIONS = (QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2)
NEWEST_KEY_CACHE_SECONDS = 1.0
"""How long the choice of the newest key is cached."""


class NotConfiguredError(RuntimeError):
    """The configuration does not name this agent's service."""

    def __init__(self, service: str) -> None:
        super().__init__(
            f"no record of service {service}; publish it or correct the settings"
        )


class AgentNode:
    """Identity, configuration, clock and inner socket of one agent.

    :ivar inner: address of the inner socket, as connection IDs name it.
    :ivar leaving: True once the agent accepts no new work.
    :ivar last_balancer: balancer that sent the most recent packet; replies go to
        it while the instance list names no balancer.
    """

    def __init__(self, *, runtime: Runtime, settings: AgentSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.inner = Endpoint(host=settings.host, port=settings.inner_port)
        self.socket: InnerSocket | None = None
        self.leaving = False
        self.last_balancer: Endpoint | None = None
        self.supported_versions = SUPPORTED_VERSIONS
        self._newest_key: DerivedKeys | None = None
        self._newest_key_ring: KeyRing | None = None
        self._newest_key_until = 0.0

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return self.runtime.now()

    @property
    def log(self) -> EventLog:
        """The daemon's event log."""
        return self.runtime.log

    @property
    def incarnation(self) -> int:
        """Number of this start of the process."""
        return self.runtime.incarnation

    @property
    def host(self) -> HostIncarnation:
        """The agent's id and incarnation, as answers to callers name them."""
        return HostIncarnation(
            agent=self.settings.id, incarnation=self.runtime.incarnation
        )

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.runtime.view

    @property
    def keys(self) -> KeyRing:
        """The keys in force."""
        return self.runtime.view.keys

    @property
    def service(self) -> Service:
        """The record of the agent's service.

        :raises NotConfiguredError: there is none.
        """
        service = self.view.services.get(self.settings.service)
        if service is None:
            raise NotConfiguredError(self.settings.service)
        return service

    @property
    def service_number(self) -> int | None:
        """Number of the agent's service, None while its record is missing."""
        service = self.view.services.get(self.settings.service)
        return None if service is None else service.number

    @property
    def upstream(self) -> Upstream:
        """The published record of this host, or its defaults while it is missing."""
        for upstream in self.view.upstreams.get(self.settings.service, ()):
            if upstream.id == self.settings.id:
                return upstream
        return Upstream(
            id=self.settings.id,
            service=self.settings.service,
            agent=self.inner,
            peer_port=self.settings.peer_port,
            failure_domain=self.settings.failure_domain,
        )

    @property
    def peers(self) -> tuple[Upstream, ...]:
        """The other hosts of the service."""
        hosts = self.view.upstreams.get(self.settings.service, ())
        return tuple(host for host in hosts if host.id != self.settings.id)

    def newest_key(self) -> DerivedKeys | None:
        """Return the key for new datagrams and connection IDs, None without one."""
        now = self.now()
        keys = self.keys
        if keys is not self._newest_key_ring or now >= self._newest_key_until:
            self._newest_key = keys.newest(now=now)
            self._newest_key_ring = keys
            self._newest_key_until = now + NEWEST_KEY_CACHE_SECONDS
        return self._newest_key

    def send(self, datagram: Datagram, *, receiver: Endpoint) -> None:
        """Sign and send an inner datagram; without a key nothing is sent."""
        key = self.newest_key()
        if key is not None and self.socket is not None:
            self.socket.send(encode_datagram(datagram, key=key), receiver)
