"""Deterministic content of answers and feeds, which callers can recompute."""

from __future__ import annotations

import hashlib

FEED_HEADER_BYTES = 13
MIN_FEED_EVENT_BYTES = FEED_HEADER_BYTES + 1


def answer_body(request_id: str, *, size: int) -> bytes:
    """Return the answer body of a request, which differs for each request id.

    :param size: length in bytes.
    """
    return hashlib.shake_128(request_id.encode()).digest(size)


def digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest for the X-Digest header."""
    return hashlib.sha256(body).hexdigest()


def feed_event(number: int, *, size: int) -> bytes:
    """Return one event of a feed: its number, padding and a newline.

    :param size: length in bytes, at least ``MIN_FEED_EVENT_BYTES``.
    """
    padding = b"." * (size - MIN_FEED_EVENT_BYTES)
    return f"{number:012d} ".encode() + padding + b"\n"


def parse_feed_number(line: bytes) -> int:
    """Parse the number of an event.

    :raises ValueError: the line is not an event.
    """
    return int(line[: FEED_HEADER_BYTES - 1])
