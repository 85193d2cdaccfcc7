"""UDP sockets of the benchmark's processes."""

from __future__ import annotations

import socket

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Bind a non-blocking UDP socket with large buffers."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    udp_socket.setblocking(False)
    udp_socket.bind(address)
    return udp_socket


def parse_address(text: str) -> tuple[str, int]:
    """Parse an address given as ``HOST:PORT``."""
    host, port = text.rsplit(":", 1)
    return host, int(port)
