"""The tasks of a balancer and its sockets."""

from __future__ import annotations

import asyncio
import socket
import time

from daisygauge_control import ConfigurationView
from daisygauge_records import Endpoint, Service

from .._peer_port import PeerPort
from .._runtime import Runtime
from . import _events as events
from ._inner import InnerSocket
from ._metrics import BalancerCollector, BalancerCounts
from ._outer import OuterSocket

TICK_SECONDS = 0.1
STALL_SECONDS = 1.0
"""Delay of a tick beyond which the process counts as having been stopped."""
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
MIN_DRAIN_SECONDS = 1.5
DRAIN_IDLE_SECONDS = 0.5
MAX_DRAIN_SECONDS = 5.0


def bind_datagram_socket(address: Endpoint) -> socket.socket:
    """Bind a UDP socket with large buffers.

    :raises OSError: the address can't be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        bound.bind((address.host, address.port))
    except OSError:
        bound.close()
        raise
    return bound


class Balancer:
    """Passes datagrams between the fabric and agents.

    :param runtime: a runtime whose settings are those of a balancer.
    """

    def __init__(self, *, runtime: Runtime) -> None:
        self.runtime = runtime
        self.settings = runtime.settings
        self.local = Endpoint(host=self.settings.host, port=self.settings.inner_port)
        self.counts = BalancerCounts()
        self.collector = BalancerCollector(
            counts=self.counts, registry=runtime.registry
        )
        self.inner = InnerSocket(
            local=self.local,
            incarnation=runtime.incarnation,
            counts=self.counts,
            log=runtime.log,
        )
        self.placer = self.inner.placer
        self.outers: dict[str, OuterSocket] = {}
        self.bind_lock = asyncio.Lock()
        self.peer_port: PeerPort | None = None
        runtime.readiness.set("sockets", False)

    async def start(self) -> None:
        """Bind the inner socket and begin to follow the configuration.

        :raises OSError: the inner address can't be bound.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self.inner, sock=bind_datagram_socket(self.local)
        )
        self.peer_port = PeerPort(runtime=self.runtime)
        await self.peer_port.start()
        self.runtime.spawn(self.follow_configuration(), name="balancer-configuration")
        self.runtime.spawn(self.run_timers(), name="balancer-timers")

    async def follow_configuration(self) -> None:
        """Put each new configuration in force."""
        source = self.runtime.source
        view = source.view
        while True:
            await self.apply_view(view)
            view = await source.wait_for_change(after=view.version)

    async def apply_view(self, view: ConfigurationView) -> None:
        """Put a configuration in force."""
        self.inner.use_keys(view.keys, now=self.runtime.now())
        self.inner.hosts = {
            (view.services[service].number, upstream.agent): upstream
            for service, upstreams in view.upstreams.items()
            if service in view.services
            for upstream in upstreams
        }
        self.placer.apply_view(view, now=self.runtime.now())
        await self.bind_services(view)

    async def bind_services(self, view: ConfigurationView) -> None:
        """Open and close outer sockets so that they match the services."""
        async with self.bind_lock:
            for name, outer in tuple(self.outers.items()):
                if not is_same_socket(outer.service, view.services.get(name)):
                    self.unbind(outer)
            for name, service in sorted(view.services.items()):
                if name in self.outers:
                    self.outers[name].service = service
                else:
                    await self.bind(service)
        self.inner.outers = {
            outer.service_part: outer for outer in self.outers.values()
        }
        self.refresh_keys()
        self.counts.unbound = len(view.services) - len(self.outers)
        self.runtime.readiness.set("sockets", bool(self.outers))

    def outer_address(self, service: Service) -> Endpoint:
        """Return the local address that a service's outer socket is bound to."""
        host = self.settings.outer_host or service.address.host
        return Endpoint(host=host, port=service.address.port)

    async def bind(self, service: Service) -> None:
        """Open the outer socket of a service, or log why the bind fails."""
        address = self.outer_address(service)
        try:
            bound = bind_datagram_socket(address)
        except OSError as error:
            self.runtime.log.write(
                events.BIND_FAILED,
                service=service.id,
                address=str(address),
                error=str(error),
            )
            return
        outer = OuterSocket(
            service=service,
            inner=self.inner.transport,
            placer=self.placer,
            counts=self.counts,
            log=self.runtime.log,
        )
        # The first packet may arrive before this task continues.
        outer.use_keys(self.inner.keys, sender=self.local, now=self.runtime.now())
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: outer, sock=bound
        )
        self.outers[service.id] = outer
        self.runtime.log.write(
            events.SERVICE_BOUND, service=service.id, address=str(address)
        )

    def unbind(self, outer: OuterSocket) -> None:
        """Close the outer socket of a service."""
        del self.outers[outer.service.id]
        outer.transport.close()
        self.runtime.log.write(
            events.SERVICE_UNBOUND,
            service=outer.service.id,
            address=str(self.outer_address(outer.service)),
        )

    def refresh_keys(self) -> None:
        """Put the keys that are valid now in force on every socket."""
        now = self.runtime.now()
        self.inner.use_keys(self.inner.keys, now=now)
        for outer in self.outers.values():
            outer.use_keys(self.inner.keys, sender=self.local, now=now)

    async def run_timers(self) -> None:
        """Run the periodic work: unanswered flights, tables, keys and failed binds."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            if now - last > TICK_SECONDS + STALL_SECONDS:
                self.placer.drop_pending(late_seconds=now - last - TICK_SECONDS)
            last = now
            self.placer.expire(now=now, time_now=self.runtime.now())
            self.placer.refresh_tables(now=self.runtime.now())
            self.refresh_keys()
            if self.counts.unbound:
                await self.bind_services(self.placer.view)

    async def drain(self) -> None:
        """Wait until agents and the fabric use other balancers.

        Agents send no more replies to this balancer once it leaves their probes
        unanswered. The wait ends when no packet was passed on for
        ``DRAIN_IDLE_SECONDS``, at the latest after ``MAX_DRAIN_SECONDS``.
        """
        self.inner.answers_probes = False
        loop = asyncio.get_running_loop()
        started = idle_since = loop.time()
        packets = self.counts.total_packets()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = loop.time()
            if self.counts.total_packets() != packets:
                packets = self.counts.total_packets()
                idle_since = now
            is_idle = now - idle_since >= DRAIN_IDLE_SECONDS
            if is_idle and now - started >= MIN_DRAIN_SECONDS:
                return
            if now - started >= MAX_DRAIN_SECONDS:
                return

    async def stop(self) -> None:
        """Close every socket."""
        for outer in tuple(self.outers.values()):
            self.unbind(outer)
        await self.peer_port.stop()
        self.inner.transport.close()


def is_same_socket(bound: Service, published: Service | None) -> bool:
    """Return whether a bound socket still matches its service's record."""
    return (
        published is not None
        and bound.number == published.number
        and bound.address == published.address
    )
