"""Errors raised while reading the platform."""

from __future__ import annotations


class PlatformUnavailableError(ConnectionError):
    """The platform or a peer could not be read; the last valid state stays in force.

    :param address: address of the server.
    """

    def __init__(self, *, address: str, reason: str) -> None:
        self.address = address
        self.reason = reason
        super().__init__(
            f"platform {address} cannot be read ({reason}); check that it runs and "
            "that the setting 'platform' names it"
        )
