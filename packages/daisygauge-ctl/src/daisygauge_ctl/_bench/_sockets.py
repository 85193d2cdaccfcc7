"""Sockets of the benchmark's own processes."""

from __future__ import annotations

import socket

BUFFER_BYTES = 4 * 1024 * 1024


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Bind a non-blocking UDP socket with large buffers."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind(address)
    return opened


def read_address(text: str) -> tuple[str, int]:
    """Read ``HOST:PORT``."""
    host, port = text.rsplit(":", 1)
    return host, int(port)
