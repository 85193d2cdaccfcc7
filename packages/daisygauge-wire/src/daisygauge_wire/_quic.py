"""Extensions of aioquic; the only module that uses its private attributes.

aioquic 1.7.2 generates random connection IDs and reset tokens in two places.
``RoutedConnection`` overrides both, so that every ID names the agent that issued
it. It also bounds the data that callers may send ahead of the reader of a stream:
aioquic doubles the window of a stream even if its data isn't read. A contract test
fails when the installed version differs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.connection import (
    MAX_STREAM_DATA_FRAME_CAPACITY,
    QuicConnection,
    QuicConnectionId,
)
from aioquic.quic.packet import QuicFrameType
from attrs import frozen

MAX_ISSUED_IDS = 8
STREAM_WINDOW_BYTES = 256 * 1024


@frozen(kw_only=True)
class IssuedId:
    """A connection ID with its stateless reset token."""

    connection_id: bytes
    reset_token: bytes


class RoutedConnection(QuicConnection):
    """A server connection with routable connection IDs and bounded stream windows.

    :param issue_id: creates each connection ID with its stateless reset token.
    :param options: passed on to ``QuicConnection``.
    :ivar unread_bytes: received bytes that the reader of a stream hasn't consumed,
        by stream ID.
    """

    def __init__(self, *, issue_id: Callable[[], IssuedId], **options: Any) -> None:
        super().__init__(**options)
        self.issue_id = issue_id
        self.unread_bytes: dict[int, int] = {}
        first = issue_id()
        self._host_cids = [
            QuicConnectionId(
                cid=first.connection_id,
                sequence_number=0,
                stateless_reset_token=first.reset_token,
                was_sent=True,
            )
        ]
        self.host_cid = first.connection_id
        self._local_initial_source_connection_id = first.connection_id

    def _replenish_connection_ids(self) -> None:
        id_count = min(MAX_ISSUED_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < id_count:
            issued = self.issue_id()
            self._host_cids.append(
                QuicConnectionId(
                    cid=issued.connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=issued.reset_token,
                )
            )
            self._host_cid_seq += 1

    def _write_stream_limits(self, builder: Any, space: Any, stream: Any) -> None:
        if not stream.max_stream_data_local:
            return
        unread = self.unread_bytes.get(stream.stream_id, 0)
        limit = stream.receiver.highest_offset - unread + STREAM_WINDOW_BYTES
        if limit - stream.max_stream_data_local > STREAM_WINDOW_BYTES // 2:
            stream.max_stream_data_local = limit
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        frame = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_CAPACITY,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        frame.push_uint_var(stream.stream_id)
        frame.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream the caller hasn't acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def has_unacknowledged_answers(self) -> bool:
        """Tell whether a part of an answer may not have reached the caller."""
        return any(
            stream_id % 4 == 0 and not stream.sender.is_finished
            for stream_id, stream in self._streams.items()
        )

    def can_send(self, stream_id: int) -> bool:
        """Tell whether a stream exists and hasn't been reset for sending."""
        stream = self._streams.get(stream_id)
        return stream is not None and stream.sender._reset_error_code is None

    @property
    def issued_ids(self) -> tuple[bytes, ...]:
        """Connection IDs that the caller may currently use."""
        return tuple(host.cid for host in self._host_cids)


def send_goaway(http: H3Connection, *, quic: QuicConnection, next_stream: int) -> None:
    """Send GOAWAY: no request from stream ``next_stream`` on will run.

    GOAWAY is defined in RFC 9114, 5.2; aioquic doesn't send it.
    """
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(next_stream))
    quic.send_stream_data(http._local_control_stream_id, frame)
