"""Packets of flows, as PROTOCOL.md describes them."""

from __future__ import annotations

import socket
import struct
import zlib
from dataclasses import dataclass, replace

HEAD = struct.Struct("!IIHBI4sH4sHI")
SYN, FIN, BOUNCED, RST, ACK = 128, 64, 16, 4, 2
RANGE = 2**32
MAX_DATA = 1_200
RESET_WINDOW = 76_800
SUM_KEY = b"stand-in"


@dataclass(frozen=True)
class Packet:
    """One packet; addresses are text, ports numbers."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b""
    echo: int = 0
    sum: int = 0

    @property
    def ends(self) -> tuple[str, int, str, int]:
        """Return the sender's and the receiver's address and port."""
        return self.src, self.sport, self.dst, self.dport


def pack(packet: Packet) -> bytes:
    """Encode a packet with the sum that it carries."""
    head = HEAD.pack(
        packet.seq,
        packet.ack,
        len(packet.data),
        packet.flags,
        packet.echo,
        socket.inet_aton(packet.dst),
        packet.dport,
        socket.inet_aton(packet.src),
        packet.sport,
        packet.sum,
    )
    return head + packet.data


def compute_sum(packet: Packet) -> int:
    """Return the keyed sum over all fields except ``echo`` and BOUNCED."""
    plain = replace(packet, echo=0, sum=0, flags=packet.flags & ~BOUNCED)
    return zlib.crc32(pack(plain), zlib.crc32(SUM_KEY)) or 1


def encode(packet: Packet) -> bytes:
    """Encode a packet of a client or a host, with its sum."""
    return pack(replace(packet, sum=compute_sum(packet)))


def decode(raw: bytes) -> Packet:
    """Decode a packet."""
    seq, ack, length, flags, echo, dst, dport, src, sport, total = HEAD.unpack_from(raw)
    return Packet(
        src=socket.inet_ntoa(src),
        sport=sport,
        dst=socket.inet_ntoa(dst),
        dport=dport,
        flags=flags,
        seq=seq,
        ack=ack,
        data=raw[HEAD.size : HEAD.size + length],
        echo=echo,
        sum=total,
    )


def is_intact(packet: Packet) -> bool:
    """Return True when the packet is as its sender wrote it."""
    return packet.sum == compute_sum(packet)


def distance(later: int, earlier: int) -> int:
    """Return the signed distance between two sequence numbers."""
    gap = (later - earlier) % RANGE
    return gap - RANGE if gap >= RANGE // 2 else gap
