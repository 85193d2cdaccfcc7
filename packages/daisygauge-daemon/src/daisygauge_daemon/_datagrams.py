"""A datagram socket that no single datagram can close."""

from __future__ import annotations

import asyncio
import traceback

from ._events import PACKET_FAILED, EventLog


class ResilientDatagramProtocol(asyncio.DatagramProtocol):
    """Hands datagrams to ``handle_datagram``, and goes on after an unexpected error.

    The event loop closes a socket whose protocol raises; one datagram must not make a
    process deaf.
    """

    def __init__(self, *, log: EventLog) -> None:
        self.log = log

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram."""
        try:
            self.handle_datagram(data, addr)
        except Exception as error:
            self.record_defect()
            self.log.write(
                PACKET_FAILED,
                sender=f"{addr[0]}:{addr[1]}",
                error=repr(error),
                traceback="".join(traceback.format_exception(error)),
            )

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram; may raise anything."""
        raise NotImplementedError

    def record_defect(self) -> None:
        """Count a datagram that met an unexpected error."""
