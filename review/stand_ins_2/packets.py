"""Packets of relayed flows, as the clients and hosts of the platform write them."""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from socket import inet_aton, inet_ntoa

HEAD = struct.Struct("!IIHBI4sH4sHI")
SYN, ACK, FIN, RST, BOUNCED = 128, 2, 64, 4, 16
FLAGS_OFFSET = 10
KEY = b"known to clients and hosts only"
RANGE = 2**32

End = tuple[str, int]


@dataclass(frozen=True, kw_only=True)
class Packet:
    """One packet; ``raw`` holds it as received.

    :param is_intact: False when a field that the checksum covers was changed.
    """

    src: End
    dst: End
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    is_intact: bool = True
    raw: bytes = b""

    def has(self, flag: int) -> bool:
        """Return True when a flag is set."""
        return bool(self.flags & flag)


def _checksum(head: bytes, data: bytes) -> int:
    covered = bytearray(head[:-4])
    covered[FLAGS_OFFSET] &= ~BOUNCED
    covered[11:15] = bytes(4)
    return zlib.crc32(KEY + bytes(covered) + data) or 1


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet with its checksum."""
    fields = (
        packet.seq % RANGE,
        packet.ack % RANGE,
        len(packet.data),
        packet.flags,
        0,
        inet_aton(packet.dst[0]),
        packet.dst[1],
        inet_aton(packet.src[0]),
        packet.src[1],
    )
    head = HEAD.pack(*fields, 0)
    return HEAD.pack(*fields, _checksum(head, packet.data)) + packet.data


def decode(raw: bytes) -> Packet:
    """Return the packet in some bytes."""
    seq, ack, length, flags, echo, dst, dport, src, sport, total = HEAD.unpack_from(raw)
    data = raw[HEAD.size :]
    is_intact = len(data) == length and total == _checksum(raw[: HEAD.size], data)
    return Packet(
        src=(inet_ntoa(src), sport),
        dst=(inet_ntoa(dst), dport),
        flags=flags,
        seq=seq,
        ack=ack,
        data=data,
        echo=echo,
        is_intact=is_intact,
        raw=raw,
    )


def bounce(raw: bytes) -> bytes:
    """Return a packet as a host returns it that can't take it."""
    returned = bytearray(raw)
    returned[FLAGS_OFFSET] |= BOUNCED
    return bytes(returned)
