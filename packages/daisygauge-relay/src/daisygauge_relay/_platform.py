"""Interface of a platform adapter."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from daisygauge_control import DirectoryReader

from ._packet import PacketCodec
from ._settings import RelaySettings


class Platform(Struct, kw_only=True, frozen=True):
    """What an adapter provides for one platform.

    :param codec: reads and creates the platform's packets.
    :param create_reader: creates the reader of the platform's store from the settings.
    :param readiness_path: HTTP path that the platform requests to check readiness.
    """

    codec: PacketCodec
    create_reader: Callable[[RelaySettings], DirectoryReader]
    readiness_path: str
