"""Contract test of ``RoutedConnection`` with the pinned version of aioquic.

The class relies on private attributes of aioquic. An update could bring back IDs
that the library generates itself; balancers can't route packets with such an ID.
"""

import datetime
from importlib.metadata import version

import pytest
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionIdIssued, HandshakeCompleted
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from daisygauge_records import Endpoint
from daisygauge_wire import (
    CONNECTION_ID_BYTES,
    IssuedId,
    Route,
    RoutedConnection,
    decode_connection_id,
    derive_reset_token,
    encode_connection_id,
    read_packet_header,
)

from .strategies import KEY, KEYS, NOW

PINNED_VERSION = "1.7.2"
CLIENT = ("127.40.6.1", 1)
SERVER = ("127.40.6.2", 2)
ROUTE = Route(agent=Endpoint(host="127.0.0.9", port=7000), service=3, incarnation=42)
STEP_SECONDS = 0.01


def issue_id():
    issued = encode_connection_id(route=ROUTE, key=KEY)
    return IssuedId(
        connection_id=issued, reset_token=derive_reset_token(issued, key=KEY)
    )


@pytest.fixture(scope="module")
def certificate():
    private_key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    begin = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=1)
    signed = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(private_key.public_key())
        .serial_number(1)
        .not_valid_before(begin)
        .not_valid_after(begin + datetime.timedelta(days=30))
        .sign(private_key, hashes.SHA256())
    )
    return signed, private_key


class ConnectionPair:
    """A client and a ``RoutedConnection``, with packets delivered by the test."""

    def __init__(self, certificate):
        self.now = NOW
        self.client = QuicConnection(
            configuration=QuicConfiguration(verify_mode=0, alpn_protocols=["h3"])
        )
        self.client.connect(SERVER, now=self.now)
        first = self.client.datagrams_to_send(now=self.now)
        self.original_id = read_packet_header(first[0][0]).destination_id
        signed, private_key = certificate
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=["h3"],
            connection_id_length=CONNECTION_ID_BYTES,
        )
        configuration.certificate = signed
        configuration.private_key = private_key
        self.server = RoutedConnection(
            issue_id=issue_id,
            configuration=configuration,
            original_destination_connection_id=self.original_id,
        )
        self.seen_ids = []
        self.deliver(first, to=self.server, sender=CLIENT)

    def deliver(self, packets, *, to, sender):
        for data, _ in packets:
            to.receive_datagram(data, sender, now=self.now)

    def exchange(self, rounds=10):
        for _ in range(rounds):
            self.now += STEP_SECONDS
            self.deliver(
                self.server.datagrams_to_send(now=self.now),
                to=self.client,
                sender=SERVER,
            )
            packets = self.client.datagrams_to_send(now=self.now)
            self.seen_ids += [
                read_packet_header(data).destination_id for data, _ in packets
            ]
            self.deliver(packets, to=self.server, sender=CLIENT)


@pytest.fixture
def pair(certificate):
    pair = ConnectionPair(certificate)
    pair.exchange()
    return pair


def drain_events(connection):
    events = []
    while (event := connection.next_event()) is not None:
        events.append(event)
    return events


def test_the_installed_aioquic_has_the_version_that_the_code_relies_on():
    assert version("aioquic") == PINNED_VERSION


def test_the_handshake_completes(pair):
    assert any(
        isinstance(event, HandshakeCompleted) for event in drain_events(pair.client)
    )


def test_every_packet_after_the_first_flight_names_the_agent(pair):
    later = [id for id in pair.seen_ids if id != pair.original_id]

    assert later
    assert {decode_connection_id(id, keys=KEYS, now=NOW) for id in later} == {ROUTE}


def test_every_issued_id_names_the_agent_and_is_reported(pair):
    reported = {
        event.connection_id
        for event in drain_events(pair.server)
        if isinstance(event, ConnectionIdIssued)
    }

    issued = set(pair.server.issued_ids)
    assert len(issued) > 1
    assert {decode_connection_id(id, keys=KEYS, now=NOW) for id in issued} == {ROUTE}
    assert reported <= issued


def test_ids_that_replace_retired_ids_name_the_agent(pair):
    old_ids = set(pair.server.issued_ids)

    for _ in range(3):
        pair.client.change_connection_id()
        pair.client.send_ping(1)
        pair.exchange(3)

    new_ids = set(pair.server.issued_ids) - old_ids
    assert len(new_ids) >= 3
    assert {decode_connection_id(id, keys=KEYS, now=NOW) for id in new_ids} == {ROUTE}


def test_a_caller_knows_the_reset_tokens_of_its_connection_ids(pair):
    used = pair.client._peer_cid

    assert used.stateless_reset_token == derive_reset_token(used.cid, key=KEY)
    assert pair.client._peer_cid_available
    assert {id.stateless_reset_token for id in pair.client._peer_cid_available} == {
        derive_reset_token(id.cid, key=KEY) for id in pair.client._peer_cid_available
    }
