import pytest
from attrs import evolve
from hypothesis import given, settings, strategies as st

from daisygauge_wire import (
    AGENT_PART,
    CONNECTION_ID_BYTES,
    IDENTITY_PART,
    ForwardEncoder,
    Kind,
    MalformedDatagramError,
    PacketKind,
    decode_connection_id,
    decode_datagram,
    decode_load_report,
    decrypt_connection_id,
    derive_reset_token,
    encode_connection_id,
    encode_datagram,
    encode_load_report,
    is_reply,
    pack_endpoint,
    read_destination_id,
    read_packet_header,
    read_reply,
    unpack_endpoint,
)

from .strategies import (
    KEY,
    KEYS,
    NOW,
    OTHER_KEYS,
    datagrams,
    endpoints,
    reports,
    routes,
)

deterministic = settings(derandomize=True, deadline=None)


@deterministic
@given(routes)
def test_issued_ids_contain_their_route_and_are_unique(route):
    issued = {encode_connection_id(route=route, key=KEY) for _ in range(3)}

    assert len(issued) == 3
    assert {decode_connection_id(id, keys=KEYS, now=NOW) for id in issued} == {route}


@deterministic
@given(routes, st.integers(0, CONNECTION_ID_BYTES * 8 - 1))
def test_an_id_with_one_bit_changed_is_refused(route, bit):
    issued = int.from_bytes(encode_connection_id(route=route, key=KEY))
    changed = (issued ^ 1 << bit).to_bytes(CONNECTION_ID_BYTES)

    assert decode_connection_id(changed, keys=KEYS, now=NOW) is None


@deterministic
@given(routes)
def test_an_id_under_another_key_is_refused(route):
    issued = encode_connection_id(route=route, key=OTHER_KEYS.newest(now=NOW))

    assert decode_connection_id(issued, keys=KEYS, now=NOW) is None
    assert derive_reset_token(issued, key=KEY) != derive_reset_token(
        issued, key=OTHER_KEYS.newest(now=NOW)
    )


@deterministic
@given(st.binary(max_size=40))
def test_random_bytes_are_no_connection_id(data):
    assert decode_connection_id(data, keys=KEYS, now=NOW) is None


@deterministic
@given(datagrams)
def test_a_datagram_round_trips(datagram):
    data = encode_datagram(datagram, key=KEY)

    assert decode_datagram(data, keys=KEYS, now=NOW) == datagram


@deterministic
@given(datagrams.filter(lambda datagram: len(datagram.payload) <= 40), st.data())
def test_a_datagram_with_one_bit_changed_is_refused(datagram, data):
    encoded = encode_datagram(datagram, key=KEY)
    bit = data.draw(st.integers(0, len(encoded) * 8 - 1))
    changed = (int.from_bytes(encoded) ^ 1 << bit).to_bytes(len(encoded))

    with pytest.raises(MalformedDatagramError):
        decode_datagram(changed, keys=KEYS, now=NOW)


@deterministic
@given(datagrams, st.integers(1, 60))
def test_a_truncated_datagram_is_refused(datagram, cut):
    encoded = encode_datagram(datagram, key=KEY)

    with pytest.raises(MalformedDatagramError):
        decode_datagram(encoded[:-cut], keys=KEYS, now=NOW)


@deterministic
@given(st.binary(max_size=200))
def test_random_bytes_are_refused_as_a_datagram(data):
    with pytest.raises(MalformedDatagramError):
        decode_datagram(data, keys=KEYS, now=NOW)


@deterministic
@given(st.binary(min_size=30, max_size=80))
def test_random_bytes_with_a_valid_tag_are_decoded_or_refused(data):
    body = bytes([1, data[1], KEY.number]) + data[3:]
    tagged = body + KEY.datagram_tag(body)

    try:
        decode_datagram(tagged, keys=KEYS, now=NOW)
    except MalformedDatagramError as error:
        assert error.reason in {"field", "candidates", "short"}


@deterministic
@given(reports)
def test_a_load_report_round_trips(report):
    assert decode_load_report(encode_load_report(report)) == report


@deterministic
@given(st.binary(max_size=64))
def test_random_bytes_are_a_load_report_or_refused(payload):
    try:
        decode_load_report(payload)
    except ValueError as error:
        assert "bytes" in str(error)


@deterministic
@given(st.binary(max_size=64))
def test_random_bytes_have_a_packet_header_or_none(data):
    header = read_packet_header(data)

    if header is not None:
        assert len(header.destination_id) <= CONNECTION_ID_BYTES
        assert header.destination_id == read_destination_id(data)


@deterministic
@given(st.binary(min_size=0, max_size=20), st.integers(2, 0xFFFFFFFF))
def test_a_packet_of_an_unknown_version_counts_as_a_first_flight(id, version):
    packet = b"\xff" + version.to_bytes(4) + bytes([len(id)]) + id + b"\0"

    header = read_packet_header(packet)

    known_second_version = 0x6B3343CF
    if version != known_second_version:
        assert header.kind is PacketKind.FIRST_FLIGHT
    assert header.destination_id == id


@deterministic
@given(routes, endpoints, endpoints, endpoints, st.binary(max_size=1_400))
def test_the_fast_path_encodes_the_same_bytes_as_the_encoder(
    route, caller, address, sender, packet
):
    id = encode_connection_id(route=route, key=KEY)
    opened = decrypt_connection_id(id, keys=KEYS.accepted(now=NOW))
    encoder = ForwardEncoder(address=address, sender=sender, key=KEY)

    frame = encoder.encode(
        opened[IDENTITY_PART], pack_endpoint(caller.host, caller.port), packet
    )

    datagram = decode_datagram(frame, keys=KEYS, now=NOW)
    assert unpack_endpoint(opened[AGENT_PART]) == (route.agent.host, route.agent.port)
    assert (datagram.kind, datagram.payload) == (Kind.FORWARD, packet)
    assert (datagram.service, datagram.incarnation) == (
        route.service,
        route.incarnation,
    )
    assert (datagram.caller, datagram.address, datagram.sender) == (
        caller,
        address,
        sender,
    )
    assert encode_datagram(datagram, key=KEY) == frame


@deterministic
@given(datagrams)
def test_the_fast_path_decodes_the_same_fields_as_the_decoder(datagram):
    reply = evolve(datagram, kind=Kind.REPLY, candidates=())

    frame = read_reply(encode_datagram(reply, key=KEY), keys=KEYS.keys)

    assert frame.packet == reply.payload
    assert int.from_bytes(frame.service) == reply.service
    assert unpack_endpoint(frame.caller) == (reply.caller.host, reply.caller.port)


@deterministic
@given(st.binary(max_size=100))
def test_random_bytes_with_the_prefix_of_a_reply_are_refused(data):
    frame = bytes([1, Kind.REPLY]) + data

    assert is_reply(frame)
    with pytest.raises(MalformedDatagramError):
        read_reply(frame, keys=KEYS.keys)
