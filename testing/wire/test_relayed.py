import pytest
from hypothesis import given, settings, strategies as st

from daisygauge_wire import (
    MAX_TRIED,
    ROUTE_TAG_BITS,
    UTILIZATION_STEP,
    AbsentFrame,
    AgentLoad,
    ForwardFrame,
    MalformedFrameError,
    NotFoundFrame,
    OfferFrame,
    OpenFrame,
    OwnerFrame,
    QueryFrame,
    SearchFrame,
    UnknownFlowFrame,
    decode_frame,
    encode_frame,
    round_utilization,
)

ADDRESSES = st.binary(min_size=4, max_size=4).filter(any)
FLOWS = st.binary(min_size=12, max_size=12)
PACKETS = st.binary(max_size=80)
UINT32 = st.integers(0, 2**32 - 1)
COUNTS = st.integers(0, 65_535)
TRIED = ADDRESSES.filter(lambda address: address[0] < 240)
"""Addresses from 240.0.0.0 up are reserved; frames use them for the route tag."""
ROUTE_TAGS = st.none() | st.integers(0, 2**ROUTE_TAG_BITS - 1)
AGENT_LOADS = st.builds(
    AgentLoad,
    agent=ADDRESSES,
    load=COUNTS,
    utilization=st.none() | st.floats(0.0, 9.0).map(round_utilization),
)
PACKET_FIELDS = {"balancer": ADDRESSES, "service": UINT32, "packet": PACKETS}
FRAMES = st.one_of(
    st.builds(ForwardFrame, **PACKET_FIELDS),
    st.builds(SearchFrame, **PACKET_FIELDS),
    st.builds(QueryFrame, **PACKET_FIELDS),
    st.builds(NotFoundFrame, flow=FLOWS, agents=COUNTS),
    st.builds(UnknownFlowFrame, **PACKET_FIELDS, lost=st.booleans()),
    st.builds(OwnerFrame, flow=FLOWS),
    st.builds(AbsentFrame, flow=FLOWS),
    st.builds(OfferFrame, flow=FLOWS, sequence=UINT32, load=COUNTS, slots=COUNTS),
    st.builds(
        OpenFrame,
        **PACKET_FIELDS,
        tried=st.lists(TRIED, max_size=MAX_TRIED).map(tuple),
        hops=st.integers(0, 255),
        best=st.none() | AGENT_LOADS,
        final=st.booleans(),
        unanswered=st.booleans(),
        has_crossed=st.booleans(),
        route_tag=ROUTE_TAGS,
    ),
    st.builds(
        OpenFrame,
        **PACKET_FIELDS,
        home_service=UINT32,
        tried=st.lists(TRIED, max_size=MAX_TRIED).map(tuple),
        hops=st.integers(0, 255),
        best=AGENT_LOADS,
        unanswered=st.booleans(),
        route_tag=ROUTE_TAGS,
    ),
)


@given(FRAMES)
def test_a_frame_round_trips(frame):
    assert decode_frame(encode_frame(frame)) == frame


@given(st.binary(max_size=120))
def test_random_bytes_are_a_frame_or_refused(data):
    try:
        decode_frame(data)
    except MalformedFrameError:
        pass


@given(FRAMES, st.integers(0, 30))
def test_a_truncated_frame_is_refused_or_decoded_as_another_frame(frame, length):
    data = encode_frame(frame)[:length]
    try:
        assert decode_frame(data) != frame or data == encode_frame(frame)
    except MalformedFrameError:
        pass


def test_an_empty_datagram_is_refused():
    with pytest.raises(MalformedFrameError):
        decode_frame(b"")


def test_a_visit_that_names_no_agent_to_go_back_to_is_refused():
    frame = OpenFrame(balancer=bytes(4), service=1, packet=b"", home_service=2)

    with pytest.raises(MalformedFrameError, match="offered it"):
        decode_frame(encode_frame(frame))


def test_processes_of_older_versions_decode_a_route_tag_as_one_more_tried_agent():
    """A frame that they refused would delay opening packets in a rolling update."""
    tried = tuple(bytes([10, 0, 0, n]) for n in range(MAX_TRIED))
    frame = OpenFrame(
        balancer=bytes(4), service=1, packet=b"SYN", tried=tried, route_tag=0x1234567
    )

    data = encode_frame(frame)

    count_at = 17
    assert data[count_at] == MAX_TRIED + 1 == 15
    assert data[count_at + 1 :] == b"".join(tried) + b"\xf1\x23\x45\x67" + b"SYN"


def test_a_full_list_of_an_older_version_is_decoded():
    """Refusing the frame would delay flows in a rolling update."""
    tried = tuple(bytes([10, 0, 0, n]) for n in range(15))
    frame = OpenFrame(balancer=bytes(4), service=1, packet=b"SYN", tried=tried)

    assert decode_frame(encode_frame(frame)) == frame


def test_a_route_tag_is_found_before_agents_that_an_older_version_has_added():
    data = encode_frame(
        OpenFrame(balancer=bytes(4), service=1, packet=b"SYN", route_tag=5)
    )
    agent = bytes([10, 0, 0, 1])
    data = data[:17] + b"\x02" + data[18:22] + agent + data[22:]

    frame = decode_frame(data)

    assert (frame.route_tag, frame.tried, frame.packet) == (5, (agent,), b"SYN")


FLAGS_OFFSET = 15
"""Offset of an open frame's flags, of which earlier versions read the lowest 3 bits."""


@given(AGENT_LOADS, st.booleans(), st.booleans(), st.booleans())
@settings(deadline=None)
def test_earlier_versions_read_the_same_flags(best, final, unanswered, has_crossed):
    """Guards against a utilization that changes bits of a frame that they decode."""
    flags = {"final": final, "unanswered": unanswered, "has_crossed": has_crossed}
    frame = OpenFrame(balancer=bytes(4), service=1, packet=b"p", best=best, **flags)
    without = AgentLoad(agent=best.agent, load=best.load)
    earlier = OpenFrame(
        balancer=bytes(4), service=1, packet=b"p", best=without, **flags
    )
    data, expected = bytearray(encode_frame(frame)), encode_frame(earlier)

    data[FLAGS_OFFSET] &= 0b111

    assert bytes(data) == expected
    assert decode_frame(expected).best.utilization is None


@given(st.floats(0.0, 1.5))
@settings(deadline=None)
def test_a_frame_carries_a_utilization_up_to_its_resolution(utilization):
    """A coarser value would make unequal upstreams look equal."""
    assert abs(round_utilization(utilization) - utilization) <= UTILIZATION_STEP / 2.0
