"""Authentication of calls between daemons with keys derived from published ones.

Each call carries its sender, the time, and a keyed hash (HMAC, RFC 2104) of both, of
the receiver and of the method. The hash is called the tag of the call. A call is
refused if no key in force verifies the tag, if it is for another receiver, or if its
time is too far off.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable, Mapping
from typing import Any

from attrs import frozen
from grpclib import GRPCError, Status
from grpclib.client import Channel
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.server import Server

from daisygauge_wire import DerivedKeys, KeyRing

CLOCK_SKEW_SECONDS = 30.0
MILLISECONDS_PER_SECOND = 1_000
KEY_HEADER = "daisygauge-key"
TIME_HEADER = "daisygauge-time"
SENDER_HEADER = "daisygauge-sender"
TAG_HEADER = "daisygauge-tag"

Keys = Callable[[], KeyRing]
Clock = Callable[[], float]


class NoKeyError(RuntimeError):
    """No published key is in force, so no call can be signed."""

    def __init__(self) -> None:
        super().__init__("no key is in force; publish a key record that is valid now")


@frozen(kw_only=True)
class Call:
    """Properties of a call that its tag authenticates.

    :param method: path of the method.
    :param sender: id of the calling daemon.
    :param receiver: id of the called daemon.
    :param sent_ms: Unix time in milliseconds.
    """

    method: str
    sender: str
    receiver: str
    sent_ms: int

    def tag(self, key: DerivedKeys) -> str:
        """Return the keyed hash of the call."""
        text = "\n".join((self.method, self.sender, self.receiver, str(self.sent_ms)))
        return hmac.new(key.peer_call_key, text.encode(), hashlib.sha256).hexdigest()


def sign_call(call: Call, *, keys: KeyRing) -> dict[str, str]:
    """Return the metadata that authenticates a call.

    :raises NoKeyError: if no key is in force.
    """
    key = keys.newest(now=call.sent_ms / MILLISECONDS_PER_SECOND)
    if key is None:
        raise NoKeyError
    return {
        KEY_HEADER: str(key.number),
        TIME_HEADER: str(call.sent_ms),
        SENDER_HEADER: call.sender,
        TAG_HEADER: call.tag(key),
    }


def check_call(
    metadata: Mapping[str, Any],
    *,
    method: str,
    receiver: str,
    keys: KeyRing,
    now: float,
) -> str | None:
    """Return the sender of a call, or None if the call is refused.

    :param now: Unix time in seconds.
    """
    try:
        number = int(metadata[KEY_HEADER])
        sent_ms = int(metadata[TIME_HEADER])
        sender = str(metadata[SENDER_HEADER])
        tag = str(metadata[TAG_HEADER])
    except (KeyError, ValueError):
        return None
    key = keys.find(number, now=now)
    age_seconds = now - sent_ms / MILLISECONDS_PER_SECOND
    if key is None or abs(age_seconds) > CLOCK_SKEW_SECONDS:
        return None
    call = Call(method=method, sender=sender, receiver=receiver, sent_ms=sent_ms)
    expected = call.tag(key).encode()
    return sender if hmac.compare_digest(expected, tag.encode()) else None


def authenticate_channel(
    channel: Channel, *, sender: str, receiver: str, keys: Keys, clock: Clock
) -> None:
    """Sign every call that is sent through a channel."""

    async def sign(event: SendRequest) -> None:
        call = Call(
            method=event.method_name,
            sender=sender,
            receiver=receiver,
            sent_ms=round(clock() * MILLISECONDS_PER_SECOND),
        )
        event.metadata.update(sign_call(call, keys=keys()))

    listen(channel, SendRequest, sign)


def authenticate_server(
    server: Server, *, receiver: str, keys: Keys, clock: Clock
) -> None:
    """Refuse every call to a server that is not signed by a key in force."""

    async def check(event: RecvRequest) -> None:
        sender = check_call(
            event.metadata,
            method=event.method_name,
            receiver=receiver,
            keys=keys(),
            now=clock(),
        )
        if sender is None:
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "no key in force has signed this call; check keys and clocks",
            )

    listen(server, RecvRequest, check)
