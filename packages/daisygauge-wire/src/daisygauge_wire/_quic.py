"""The only module that depends on the inner workings of the QUIC library.

aioquic 1.7.2 draws connection IDs and reset tokens at random in two places.
``RoutedConnection`` replaces both, so that every ID names the issuing agent.
A contract test guards the pinned version.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from attrs import frozen

MAX_ISSUED_IDS = 8


@frozen(kw_only=True)
class IssuedId:
    """A connection ID with its stateless reset token."""

    connection_id: bytes
    reset_token: bytes


class RoutedConnection(QuicConnection):
    """A server connection whose connection IDs come from ``issue_id``."""

    def __init__(self, *, issue_id: Callable[[], IssuedId], **options: Any) -> None:
        super().__init__(**options)
        self.issue_id = issue_id
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
        wanted = min(MAX_ISSUED_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < wanted:
            issued = self.issue_id()
            self._host_cids.append(
                QuicConnectionId(
                    cid=issued.connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=issued.reset_token,
                )
            )
            self._host_cid_seq += 1

    @property
    def issued_ids(self) -> tuple[bytes, ...]:
        """Connection IDs that callers may use now."""
        return tuple(host.cid for host in self._host_cids)


def send_goaway(http: H3Connection, *, quic: QuicConnection, next_stream: int) -> None:
    """Tell the caller that no request from ``next_stream`` on will run.

    GOAWAY is defined in RFC 9114, 5.2; the library does not send it itself.
    """
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(next_stream))
    quic.send_stream_data(http._local_control_stream_id, frame)
