"""Base class of the UDP protocols, which keeps their sockets open after an error."""

from __future__ import annotations

import asyncio
import traceback

from ._events import PACKET_FAILED, EventLog


class ResilientDatagramProtocol(asyncio.DatagramProtocol):
    """Passes each datagram to ``handle_datagram`` and catches its errors.

    The event loop closes a socket whose protocol raises. Without the catch, one
    datagram could stop the process from receiving any more.
    """

    def __init__(self, *, log: EventLog) -> None:
        self.log = log

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram; log an unexpected error and drop the datagram."""
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
        """Handle one datagram.

        :raises Exception: any error; ``datagram_received`` logs it.
        """
        raise NotImplementedError

    def record_defect(self) -> None:
        """Count a datagram whose handling raised an unexpected error."""
