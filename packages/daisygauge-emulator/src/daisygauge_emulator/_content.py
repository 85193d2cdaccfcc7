"""What upstreams answer, so that callers can check it without a second copy."""

from __future__ import annotations

import hashlib

FEED_HEADER_BYTES = 13
MIN_FEED_EVENT_BYTES = FEED_HEADER_BYTES + 1


def answer_body(request_id: str, *, size: int) -> bytes:
    """Return the body that answers a request, different for each request.

    :param size: length in bytes.
    """
    return hashlib.shake_128(request_id.encode()).digest(size)


def digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest that X-Digest carries."""
    return hashlib.sha256(body).hexdigest()


def feed_event(number: int, *, size: int) -> bytes:
    """Return one event of a feed: its number, padding and a line end.

    :param size: length in bytes, at least ``MIN_FEED_EVENT_BYTES``.
    """
    padding = b"." * (size - MIN_FEED_EVENT_BYTES)
    return f"{number:012d} ".encode() + padding + b"\n"


def feed_number(line: bytes) -> int:
    """Read the number of an event.

    :raises ValueError: the line is no event.
    """
    return int(line[: FEED_HEADER_BYTES - 1])
