"""Authentication of calls between agents by keys derived from published ones."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from typing import Any

from daisygauge_wire import DerivedKeys, KeyRing

CLOCK_SKEW_SECONDS = 30.0
KEY_HEADER = "daisygauge-key"
TIME_HEADER = "daisygauge-time"
SENDER_HEADER = "daisygauge-sender"
TAG_HEADER = "daisygauge-tag"


def tag_call(
    key: DerivedKeys, *, method: str, sender: str, receiver: str, sent_ms: int
) -> str:
    """Return the keyed hash of a call (HMAC, RFC 2104)."""
    text = "\n".join((method, sender, receiver, str(sent_ms)))
    return hmac.new(key.peer_call, text.encode(), hashlib.sha256).hexdigest()


def sign_call(
    key: DerivedKeys, *, method: str, sender: str, receiver: str, now: float
) -> dict[str, str]:
    """Return the metadata that authenticates a call.

    :param now: Unix time in seconds.
    """
    sent_ms = round(now * 1_000)
    tag = tag_call(
        key, method=method, sender=sender, receiver=receiver, sent_ms=sent_ms
    )
    return {
        KEY_HEADER: str(key.number),
        TIME_HEADER: str(sent_ms),
        SENDER_HEADER: sender,
        TAG_HEADER: tag,
    }


def is_authentic(
    metadata: Mapping[str, Any],
    *,
    method: str,
    receiver: str,
    keys: KeyRing,
    now: float,
) -> bool:
    """Tell whether a key in force has signed a call lately.

    :param now: Unix time in seconds.
    """
    try:
        number = int(metadata[KEY_HEADER])
        sent_ms = int(metadata[TIME_HEADER])
        sender = str(metadata[SENDER_HEADER])
        tag = str(metadata[TAG_HEADER])
    except (KeyError, ValueError):
        return False
    key = keys.find(number, now=now)
    if key is None or abs(now - sent_ms / 1_000) > CLOCK_SKEW_SECONDS:
        return False
    expected = tag_call(
        key, method=method, sender=sender, receiver=receiver, sent_ms=sent_ms
    )
    return hmac.compare_digest(expected.encode(), tag.encode())
