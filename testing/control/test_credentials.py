import pytest
from attrs import evolve
from hypothesis import given, settings, strategies as st

from daisygauge_control._credentials import (
    CLOCK_SKEW_SECONDS,
    Call,
    NoKeyError,
    check_call,
    sign_call,
)
from daisygauge_control._sealing import UnreadableMessageError, open_sealed, seal
from daisygauge_records import Key
from daisygauge_wire import KeyRing
from daisygauge_wire.control_pb2 import Report, Sealed

NOW = 1_000.0
OLD = Key(id="a", number=1, secret="5a" * 32, not_after=2_000.0)
NEW = Key(id="b", number=2, secret="6b" * 32, not_before=1_500.0)
CALL = Call(
    method="/daisygauge.Control/Follow", sender="b1", receiver="b2", sent_ms=1_000_000
)


def ring(*keys):
    return KeyRing.from_keys(keys)


def check(metadata, *, keys, now=NOW, method=CALL.method, receiver="b2"):
    return check_call(metadata, method=method, receiver=receiver, keys=keys, now=now)


def test_a_call_signed_by_a_key_in_force_is_accepted():
    assert check(sign_call(CALL, keys=ring(OLD)), keys=ring(OLD)) == "b1"


@pytest.mark.parametrize(
    "change",
    [
        {"receiver": "b3"},
        {"method": "/daisygauge.Control/Status"},
        {"now": NOW + CLOCK_SKEW_SECONDS + 1},
        {"now": NOW - CLOCK_SKEW_SECONDS - 1},
        {"keys": ring(evolve(OLD, secret="6b" * 32))},
        {"keys": ring(NEW)},
    ],
)
def test_a_call_for_another_purpose_time_or_key_is_refused(change):
    metadata = sign_call(CALL, keys=ring(OLD))

    assert check(metadata, **{"keys": ring(OLD), **change}) is None


@settings(derandomize=True)
@given(
    metadata=st.dictionaries(
        st.sampled_from(sorted(sign_call(CALL, keys=ring(OLD)))), st.text(max_size=9)
    )
)
def test_no_forged_metadata_is_accepted(metadata):
    assert check(metadata, keys=ring(OLD)) is None


def test_no_call_is_signed_without_a_key_in_force():
    with pytest.raises(NoKeyError, match="publish a key record"):
        sign_call(CALL, keys=ring(NEW))


@pytest.mark.parametrize("now", [1_000.0, 1_400.0, 1_600.0, 1_999.0])
def test_calls_are_accepted_during_a_key_rotation(now):
    call = evolve(CALL, sent_ms=round(now * 1_000))
    before, after = ring(OLD), ring(OLD, NEW)
    if now < NEW.not_before:
        metadata = sign_call(call, keys=after)
        assert check(metadata, keys=before, now=now) == "b1"
    metadata = sign_call(call, keys=before)

    assert check(metadata, keys=after, now=now) == "b1"


def test_an_expired_key_is_refused():
    expired = OLD.not_after + 1
    call = evolve(CALL, sent_ms=round(expired * 1_000))
    metadata = {**sign_call(CALL, keys=ring(OLD)), "daisygauge-time": str(call.sent_ms)}

    assert check(metadata, keys=ring(OLD), now=expired) is None


def test_a_sealed_message_is_encrypted_and_round_trips():
    message = Report(digest=7, revision=9, ready=True)

    sealed = seal(message, keys=ring(OLD, NEW), now=NOW)

    assert message.SerializeToString() not in sealed.SerializeToString()
    assert open_sealed(sealed, Report, keys=ring(OLD), now=NOW) == message


@pytest.mark.parametrize(
    "change",
    [{"key": 2}, {"nonce": b"short"}, {"payload": b"x" * 40}, {"payload": b""}],
)
def test_a_modified_sealed_message_is_refused(change):
    sealed = seal(Report(), keys=ring(OLD), now=NOW)
    sealed.MergeFrom(Sealed(**change)) if any(change.values()) else sealed.ClearField(
        "payload"
    )

    with pytest.raises(UnreadableMessageError):
        open_sealed(sealed, Report, keys=ring(OLD), now=NOW)


@settings(derandomize=True)
@given(nonce=st.binary(max_size=16), payload=st.binary(max_size=64))
def test_arbitrary_bytes_raise_unreadable_message_error(nonce, payload):
    with pytest.raises(UnreadableMessageError):
        open_sealed(
            Sealed(key=1, nonce=nonce, payload=payload),
            Report,
            keys=ring(OLD),
            now=NOW,
        )
