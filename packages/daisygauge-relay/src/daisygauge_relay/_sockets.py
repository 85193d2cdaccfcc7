"""UDP sockets of a process, bound before the slow part of its start.

Importing the event loop takes most of the start, up to a second on a small instance.
Packets that arrive meanwhile wait in the sockets' buffers. Losing them would cost their
clients a retransmission or the request.
"""

from __future__ import annotations

import socket

from msgspec import Struct

from ._settings import Address, RelaySettings

RECEIVE_BUFFER_BYTES = 2 * 1024 * 1024
"""Large enough to hold the packets that arrive while the process pauses."""


class RoleSockets(Struct, kw_only=True, frozen=True):
    """The sockets of a role.

    :param inner: receives frames from other instances.
    :param outer: receives packets from clients at a balancer, from the upstream at an
        agent.
    """

    inner: socket.socket
    outer: socket.socket


def bind_sockets(settings: RelaySettings) -> RoleSockets:
    """Bind the sockets of a role.

    :raises OSError: an address can't be bound.
    """
    inner = Address(host=settings.host, port=settings.inner_port)
    return RoleSockets(inner=bind_udp(inner), outer=bind_udp(settings.outer))


def bind_udp(address: Address) -> socket.socket:
    """Return a bound UDP socket, which buffers datagrams from now on.

    :raises OSError: the address can't be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind((address.host, address.port))
    return bound
