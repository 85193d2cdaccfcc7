import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_platform._packets import (
    ACK,
    BOUNCED,
    FIN,
    HEADER,
    RST,
    SYN,
    PlatformCodec,
)
from daisygauge_relay import MalformedPacketError

OPENING_PACKET = bytes.fromhex(
    "11223344 00000000 0000 80 00000000 c6120001 01bb 64400007 9c41 a1b2c3d5"
)
RESET = bytes.fromhex(
    "00000000 00000000 0000 04 00000000 64400007 9c41 c6120001 01bb 00000000"
)
FLOW = bytes.fromhex("64400007 9c41 c6120001 01bb")
CODEC = PlatformCodec()
ENDPOINTS = st.binary(min_size=6, max_size=6)
FLAGS = st.sampled_from(
    [0, SYN, ACK, SYN | ACK, FIN | ACK, RST, BOUNCED | SYN, BOUNCED]
)
NUMBERS = st.integers(0, 2**32 - 1)


def test_the_documented_opening_packet_is_decoded():
    packet = CODEC.read_from_client(OPENING_PACKET)

    assert packet.flow == FLOW
    assert (packet.opening, packet.copy, packet.sequence) == (True, 0, 0x11223344)


def test_the_documented_reset_is_encoded():
    assert CODEC.make_reset(FLOW) == RESET


def test_both_directions_have_the_same_flow():
    packet_data = HEADER.pack(9, 1, 0, SYN | ACK, 0, FLOW[:6], FLOW[6:], 1)

    packet = CODEC.read_from_upstream(packet_data)

    assert packet.flow == FLOW
    assert packet.accepting


def test_a_returned_packet_has_the_flow_of_its_client():
    data = bytearray(OPENING_PACKET)
    data[10] |= BOUNCED

    packet = CODEC.read_from_upstream(bytes(data))

    assert (packet.flow, packet.returned, packet.opening) == (FLOW, True, True)


@given(ENDPOINTS, ENDPOINTS, FLAGS, NUMBERS, NUMBERS, NUMBERS, st.binary(max_size=64))
def test_a_restored_packet_equals_the_packet_sent(dst, src, flags, seq, ack, sum, data):
    flags &= ~BOUNCED
    sent = HEADER.pack(seq, ack, len(data), flags, 0, dst, src, sum) + data
    marked = bytearray(sent)
    marked[10] |= BOUNCED
    marked[11:15] = b"echo"

    assert CODEC.restore(bytes(marked)) == sent


@given(st.binary(max_size=200))
def test_random_bytes_are_a_packet_or_refused(data):
    for read in (CODEC.read_from_client, CODEC.read_from_upstream):
        try:
            assert len(read(data).flow) == 12
        except MalformedPacketError:
            assert len(data) < HEADER.size


@given(st.binary(max_size=300))
def test_random_data_has_a_request_id_or_none(data):
    found = CODEC.find_request_id(
        HEADER.pack(0, 0, 0, 0, 0, bytes(6), bytes(6), 0) + data
    )

    assert found is None or len(found) <= 64


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_id_is_found(method):
    header = HEADER.pack(0, 0, 0, ACK, 0, bytes(6), bytes(6), 0)
    data = f"{method} / HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: abc123\r\n\r\n".encode()

    assert CODEC.find_request_id(header + data) == "abc123"


def packet_of(data):
    return HEADER.pack(0, 0, len(data), ACK, 0, bytes(6), bytes(6), 0) + data


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", 200),
        (b"HTTP/1.1 500 Internal Server Error\r\n\r\n", 500),
        (b"HTTP/1.0 503\r\n\r\n", 503),
        (b"HTTP/1.1 5000 \r\n", None),
        (b"HTTP/1.1 50", None),
        (b"body HTTP/1.1 500 ", None),
        (b"", None),
    ],
)
def test_the_status_is_read_only_where_a_response_starts(data, status):
    """A body that quotes a status line must not count as a failed response."""
    assert CODEC.read_status(packet_of(data)) == status


@pytest.mark.parametrize(
    ("data", "is_refusal"),
    [
        (b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n\r\n", True),
        (b"HTTP/1.1 421 Elsewhere\r\nA: b\r\nX-Not-Executed: 1\r\n\r\n", True),
        (b"HTTP/1.1 503 Busy\r\n\r\n", False),
        (b"HTTP/1.1 500 Error\r\nX-Not-Executed: 1\r\n\r\n", False),
        (b"HTTP/1.1 503 Busy\r\n\r\nabc\r\nX-Not-Executed: 1\r\n", False),
    ],
)
def test_a_refusal_needs_its_status_and_its_header(data, is_refusal):
    """A refusal for overload must not count as a failure of the host."""
    assert CODEC.is_refusal(packet_of(data)) == is_refusal


@given(st.binary(max_size=100))
@settings(deadline=None)
def test_random_data_has_a_status_of_three_digits_or_none(data):
    """A garbled packet must not end the handling of its flow."""
    for packet in (data, packet_of(data), packet_of(b"HTTP/1.1 " + data)):
        status = CODEC.read_status(packet)

        assert status is None or 100 <= status <= 999
        assert CODEC.is_refusal(packet) in (True, False)
