"""The protocol between the processes of daisygauge."""

from ._connection_id import (
    CONNECTION_ID_BYTES,
    Route,
    decode_connection_id,
    encode_connection_id,
    reset_token,
)
from ._datagram import (
    ANY_INCARNATION,
    MAX_CANDIDATES,
    MAX_HOPS,
    NO_ENDPOINT,
    Datagram,
    Kind,
    MalformedDatagramError,
    PlacedStatus,
    decode_datagram,
    encode_datagram,
)
from ._gauge import Gauge, decode_gauge, encode_gauge
from ._keyring import DerivedKeys, KeyRing, derive_key
from ._packet import PacketHeader, PacketKind, read_packet_header
from ._quic import (
    STREAM_WINDOW_BYTES,
    IssuedId,
    RoutedConnection,
    send_goaway,
)

__all__ = [
    "ANY_INCARNATION",
    "CONNECTION_ID_BYTES",
    "MAX_CANDIDATES",
    "MAX_HOPS",
    "NO_ENDPOINT",
    "Datagram",
    "DerivedKeys",
    "Gauge",
    "IssuedId",
    "KeyRing",
    "Kind",
    "MalformedDatagramError",
    "PacketHeader",
    "PacketKind",
    "STREAM_WINDOW_BYTES",
    "PlacedStatus",
    "Route",
    "RoutedConnection",
    "decode_connection_id",
    "decode_datagram",
    "decode_gauge",
    "derive_key",
    "encode_connection_id",
    "encode_datagram",
    "encode_gauge",
    "read_packet_header",
    "reset_token",
    "send_goaway",
]
