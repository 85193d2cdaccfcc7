"""Formats of the messages that the processes of daisygauge exchange."""

import lazy_loader

# Submodules are imported on first use, so that a process loads only those that its
# role needs.
__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "_connection_id": [
            "AGENT_PART",
            "CONNECTION_ID_BYTES",
            "IDENTITY_PART",
            "SERVICE_PART",
            "Route",
            "decode_connection_id",
            "encode_connection_id",
            "decrypt_connection_id",
            "derive_reset_token",
        ],
        "_datagram": [
            "ANY_INCARNATION",
            "MAX_CANDIDATES",
            "MAX_HOPS",
            "NO_ENDPOINT",
            "Datagram",
            "Kind",
            "MalformedDatagramError",
            "PlacementStatus",
            "decode_datagram",
            "encode_datagram",
        ],
        "_fast_path": [
            "ForwardEncoder",
            "ReplyFrame",
            "is_reply",
            "pack_endpoint",
            "read_reply",
            "unpack_endpoint",
        ],
        "_load_report": [
            "LoadReport",
            "decode_load_report",
            "encode_load_report",
        ],
        "_keyring": [
            "DerivedKeys",
            "KeyRing",
            "derive_key",
        ],
        "_packet": [
            "PacketHeader",
            "PacketKind",
            "read_destination_id",
            "read_packet_header",
        ],
        "_relayed": [
            "ADDRESS_BYTES",
            "MalformedFrameError",
            "decode_frame",
            "encode_frame",
        ],
        "_relayed_frames": [
            "AbsentFrame",
            "AgentLoad",
            "ForwardFrame",
            "Frame",
            "MAX_TRIED",
            "NotFoundFrame",
            "OfferFrame",
            "OpenFrame",
            "OwnerFrame",
            "QueryFrame",
            "ROUTE_TAG_BITS",
            "SearchFrame",
            "UTILIZATION_STEP",
            "UnknownFlowFrame",
            "round_utilization",
        ],
        "_quic": [
            "STREAM_WINDOW_BYTES",
            "IssuedId",
            "RoutedConnection",
            "send_goaway",
        ],
    },
)
