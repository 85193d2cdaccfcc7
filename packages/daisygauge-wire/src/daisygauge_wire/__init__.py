"""The protocol between the processes of daisygauge."""

from ._connection_id import (
    AGENT_PART,
    CONNECTION_ID_BYTES,
    IDENTITY_PART,
    SERVICE_PART,
    Route,
    decode_connection_id,
    encode_connection_id,
    open_connection_id,
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
from ._fast_path import (
    ForwardEncoder,
    ReplyFrame,
    is_reply,
    pack_endpoint,
    read_reply,
    unpack_endpoint,
)
from ._gauge import Gauge, decode_gauge, encode_gauge
from ._keyring import DerivedKeys, KeyRing, derive_key
from ._packet import PacketHeader, PacketKind, read_destination_id, read_packet_header
from ._quic import (
    STREAM_WINDOW_BYTES,
    IssuedId,
    RoutedConnection,
    send_goaway,
)

__all__ = [
    "AGENT_PART",
    "ANY_INCARNATION",
    "CONNECTION_ID_BYTES",
    "MAX_CANDIDATES",
    "MAX_HOPS",
    "NO_ENDPOINT",
    "Datagram",
    "DerivedKeys",
    "Gauge",
    "ForwardEncoder",
    "IDENTITY_PART",
    "IssuedId",
    "KeyRing",
    "Kind",
    "MalformedDatagramError",
    "PacketHeader",
    "PacketKind",
    "STREAM_WINDOW_BYTES",
    "PlacedStatus",
    "ReplyFrame",
    "Route",
    "RoutedConnection",
    "SERVICE_PART",
    "decode_connection_id",
    "decode_datagram",
    "decode_gauge",
    "derive_key",
    "encode_connection_id",
    "encode_datagram",
    "encode_gauge",
    "is_reply",
    "open_connection_id",
    "pack_endpoint",
    "read_destination_id",
    "read_packet_header",
    "read_reply",
    "reset_token",
    "send_goaway",
    "unpack_endpoint",
]
