import asyncio

import pytest
from aioquic.asyncio import QuicConnectionProtocol
from aioquic.asyncio.server import serve
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ProtocolNegotiated

from daisygauge_emulator._content import answer_body, digest, feed_event
from daisygauge_emulator.caller import (
    Answered,
    Caller,
    Client,
    Defect,
    Feed,
    NotRun,
    Request,
    Target,
    Unknown,
)
from daisygauge_emulator.caller._exchange import End
from daisygauge_emulator.fleet import create_certificates
from daisygauge_wire import send_goaway

H3_REQUEST_REJECTED = 0x10B
H3_INTERNAL_ERROR = 0x102
NAME = "order-desk.test"


class Server(QuicConnectionProtocol):
    connections: list

    def quic_event_received(self, event):
        if isinstance(event, ProtocolNegotiated):
            self.http = H3Connection(self._quic)
            Server.connections.append(self)
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                headers = {n.decode(): v.decode() for n, v in http_event.headers}
                self.answer(http_event.stream_id, headers)
        self.transmit()

    def send(self, stream, fields, body=b"", *, ended=True):
        headers = [(name.encode(), value.encode()) for name, value in fields.items()]
        self.http.send_headers(stream, headers)
        self.http.send_data(stream, body, end_stream=ended)

    def answer(self, stream, headers):
        path = headers[":path"].split("?")[0]
        request_id = headers["x-request-id"]
        body = answer_body(request_id, size=40)
        fields = {
            ":status": "200",
            "x-service": "order-desk",
            "x-request-id": request_id,
            "x-digest": digest(body),
            "x-daisygauge-host": f"host;{len(Server.connections)}",
        }
        refusal = {"x-daisygauge-outcome": "not-run", "retry-after": "2"}
        match path:
            case "/foreign":
                self.send(stream, {**fields, "x-service": "proofshop"}, body)
            case "/garbled":
                self.send(stream, fields, body[::-1])
            case "/refused":
                self.send(stream, {":status": "503", **refusal})
            case "/rejected":
                self._quic.reset_stream(stream, H3_REQUEST_REJECTED)
            case "/cut":
                self.send(stream, fields, body[:10], ended=False)
                self.transmit()
                self._quic.reset_stream(stream, H3_INTERNAL_ERROR)
            case "/silent":
                pass
            case "/feed":
                start = int(headers[":path"].split("from=")[1])
                events = b"".join(feed_event(start + n, size=20) for n in range(3))
                self.send(stream, fields, events, ended=False)
            case _:
                self.send(stream, fields, body)

    def go_away(self):
        send_goaway(self.http, quic=self._quic, next_stream=1 << 20)
        self.transmit()


@pytest.fixture
async def target(tmp_path):
    Server.connections = []
    files = create_certificates(tmp_path, server_names=[NAME], addresses=["127.0.0.1"])
    configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
    configuration.load_cert_chain(files.certificate, files.private_key)
    server = await serve(
        "127.0.0.1", 0, configuration=configuration, create_protocol=Server
    )
    port = server._transport.get_extra_info("sockname")[1]
    yield Target(
        service="order-desk",
        host="127.0.0.1",
        port=port,
        server_name=NAME,
        ca_path=str(files.ca),
    )
    server.close()


@pytest.fixture(params=list(Client))
async def caller(target, request):
    caller = Caller(target, client=request.param)
    yield caller
    await caller.close()


async def test_a_correct_answer_has_no_defects(caller):
    outcome = await caller.request(Request(path="/run"))

    assert isinstance(outcome, Answered)
    assert outcome.defects == frozenset()


@pytest.mark.parametrize(
    ("path", "defect"),
    [("/foreign", Defect.WRONG_SERVICE), ("/garbled", Defect.WRONG_BODY)],
)
async def test_the_defect_of_a_wrong_answer_is_found(caller, path, defect):
    outcome = await caller.request(Request(path=path))

    assert outcome.defects == {defect}


@pytest.mark.parametrize(
    ("path", "retry_after_seconds"), [("/refused", 2.0), ("/rejected", None)]
)
async def test_a_refusal_is_not_run(caller, path, retry_after_seconds):
    outcome = await caller.request(Request(path=path))

    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_seconds == retry_after_seconds


async def test_an_incomplete_answer_is_unknown_and_names_the_host(caller):
    outcome = await caller.request(Request(path="/cut"))

    assert isinstance(outcome, Unknown)
    assert outcome.host == "host;1"


async def test_a_request_past_its_deadline_is_unknown(caller):
    outcome = await caller.request(Request(path="/silent", deadline_seconds=0.2))

    assert isinstance(outcome, Unknown)


async def test_cancelling_a_complete_answer_keeps_the_connection_open(caller):
    connection, exchange = await caller.start(Request(path="/run"))
    while not isinstance(await exchange.events.get(), End):
        pass

    connection.cancel(exchange)

    assert not connection.exchanges.closed.is_set()


async def test_a_request_without_a_server_is_not_run(target):
    caller = Caller(target, connect_timeout_seconds=0.2)
    caller.target = Target(
        service="order-desk",
        host="127.0.0.1",
        port=9,
        server_name=NAME,
        ca_path=target.ca_path,
    )

    assert isinstance(await caller.request(Request(path="/run")), NotRun)


async def test_requests_after_goaway_use_another_connection(caller):
    first = await caller.request(Request(path="/run"))
    connection = caller.connections[0]

    Server.connections[0].go_away()
    await connection.exchanges.leaving.wait()
    second = await caller.request(Request(path="/run"))

    hosts = [outcome.headers["x-daisygauge-host"] for outcome in (first, second)]
    assert hosts == ["host;1", "host;2"]


async def test_a_feed_moves_after_goaway_without_a_gap(caller):
    feed = Feed(caller, path="/feed")
    reading = asyncio.create_task(feed.run())
    while feed.report.events < 3:
        await asyncio.sleep(0.01)

    Server.connections[0].go_away()
    while feed.report.events < 6:
        await asyncio.sleep(0.01)
    reading.cancel()

    assert feed.report.breaks == []
    assert (feed.report.moves, feed.expected) == (1, 6)


async def test_the_longest_silence_of_a_feed_includes_the_time_until_its_end(caller):
    now = 100.0
    feed = Feed(caller, path="/feed", clock=lambda: now)
    reading = asyncio.create_task(feed.run())
    while feed.report.events < 3:
        await asyncio.sleep(0.01)

    now = 109.0
    reading.cancel()
    await asyncio.gather(reading, return_exceptions=True)

    assert feed.report.longest_silence_seconds == 9.0


async def test_a_stateless_reset_ends_the_connection(target):
    caller = Caller(target)
    connection = await caller.connect()
    server = Server.connections[0]
    token = connection._quic._peer_cid.stateless_reset_token

    server._transport.sendto(
        b"\x40" + bytes(24) + token, connection._transport.get_extra_info("sockname")
    )
    await connection.exchanges.closed.wait()

    assert connection.exchanges.closed_reason == "stateless reset"
