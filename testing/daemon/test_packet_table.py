import itertools

from daisygauge_daemon._balancer._packet_table import PACKET_TABLE, Action, IdOrigin
from daisygauge_wire import PacketKind


def test_the_table_has_a_row_for_every_packet():
    assert set(PACKET_TABLE) == set(itertools.product(IdOrigin, PacketKind))


def test_an_id_of_an_agent_is_forwarded_whatever_the_packet():
    actions = {PACKET_TABLE[IdOrigin.AGENT, kind] for kind in PacketKind}

    assert actions == {Action.FORWARD}


def test_only_first_flights_are_placed():
    placed = {row for row, action in PACKET_TABLE.items() if action is Action.PLACE}

    assert placed == {(IdOrigin.CALLER, PacketKind.FIRST_FLIGHT)}
