"""What an adapter brings for one platform."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from daisygauge_control import DirectoryReader

from ._packet import PacketCodec
from ._settings import RelaySettings


class Platform(Struct, kw_only=True, frozen=True):
    """What an adapter brings for one platform.

    :param codec: its packets.
    :param create_reader: makes the reader of its store from the settings.
    :param readiness_path: where it asks whether a process wants traffic.
    """

    codec: PacketCodec
    create_reader: Callable[[RelaySettings], DirectoryReader]
    readiness_path: str
