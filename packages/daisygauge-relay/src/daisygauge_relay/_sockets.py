"""UDP sockets of a process, bound before the slow part of its start.

Loading the event loop takes most of a start, up to a second on a small instance.
Packets that arrive meanwhile wait in the sockets' buffers in place of being lost,
which would cost their clients a repetition or the request.
"""

from __future__ import annotations

import socket

from msgspec import Struct

from ._settings import Address, RelaySettings

RECEIVE_BUFFER_BYTES = 2 * 1024 * 1024
"""A pause of the process must not cost the packets that arrive meanwhile."""


class RoleSockets(Struct, kw_only=True, frozen=True):
    """The sockets of a role.

    :param inner: takes frames of other instances.
    :param outer: takes packets of clients at a balancer, of the upstream at an agent.
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
    """Return a UDP socket that takes datagrams from now on.

    :raises OSError: the address can't be bound.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind((address.host, address.port))
    return bound
