"""Fakes for the agent's tests: balancers, fabric, upstream, caller and fleet."""

import asyncio
import datetime
import itertools
import os
import socket
import ssl
from contextlib import asynccontextmanager

from aiohttp import web
from aioquic.asyncio import QuicConnectionProtocol
from aioquic.asyncio.client import connect
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, StreamReset
from attrs import evolve
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from daemon.fakes import FakeConfigurationSource

from daisygauge_control import ConfigurationView
from daisygauge_daemon._agent import Agent
from daisygauge_daemon._runtime import Runtime
from daisygauge_daemon._settings import AgentSettings, TlsSettings, UpstreamSettings
from daisygauge_records import (
    Endpoint,
    Instance,
    Key,
    RequestClass,
    Role,
    Service,
    Upstream,
)
from daisygauge_wire import (
    Datagram,
    KeyRing,
    Kind,
    decode_connection_id,
    decode_datagram,
    encode_datagram,
    read_packet_header,
)

HOST = "127.50.0.1"
KEYS = KeyRing.from_keys([Key(id="a", number=7, secret="11" * 32)])
CLASSES = (
    RequestClass(name="feed", path_prefix="/feed", streaming=True),
    RequestClass(name="order", method="POST", deadline_seconds=5.0),
    RequestClass(name="lookup", deadline_seconds=5.0, idempotent=True),
)


PORTS = range(20_000, 32_000)
"""Below the ports that the system gives to outgoing connections, which could take one
between its probe and its use."""
ports = itertools.cycle((*PORTS[os.getpid() % len(PORTS) :], *PORTS))


def free_port(kind=socket.SOCK_DGRAM):
    for port in ports:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


class FakeBalancer(asyncio.DatagramProtocol):
    """A balancer with one outer and one inner socket that routes by connection ID.

    While ``alive`` is False it ignores every packet, as after SIGKILL.
    """

    def __init__(self, *, service, agents):
        self.service = service
        self.agents = agents
        self.alive = True
        self.statuses = []
        self.replies = 0
        self.forwarded = 0
        self.outer = None
        self.inner = None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.outer, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.on_packet), local_addr=(HOST, 0)
        )
        self.inner, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self.on_inner), local_addr=(HOST, 0)
        )
        return self

    @property
    def outer_address(self):
        return self.outer.get_extra_info("sockname")

    @property
    def inner_endpoint(self):
        host, port = self.inner.get_extra_info("sockname")
        return Endpoint(host=host, port=port)

    def on_packet(self, data, addr):
        if not self.alive:
            return
        header = read_packet_header(data)
        route = decode_connection_id(header.destination_id, keys=KEYS, now=1.0)
        datagram = Datagram(
            kind=Kind.FORWARD,
            service=self.service,
            incarnation=route.incarnation if route else 0,
            caller=Endpoint(host=addr[0], port=addr[1]),
            address=Endpoint(host=HOST, port=443),
            sender=self.inner_endpoint,
            candidates=tuple(self.agents),
            payload=data,
        )
        self.forwarded += 1
        self.send(datagram, route.agent if route else self.agents[0])

    def send(self, datagram, receiver):
        data = encode_datagram(datagram, key=KEYS.newest(now=1.0))
        self.inner.sendto(data, (receiver.host, receiver.port))

    def on_inner(self, data, addr):
        if not self.alive:
            return
        datagram = decode_datagram(data, keys=KEYS, now=1.0)
        match datagram.kind:
            case Kind.REPLY:
                self.replies += 1
                caller = datagram.caller
                self.send_to_caller(datagram.payload, (caller.host, caller.port))
            case Kind.PLACEMENT:
                self.statuses.append(datagram.status)
            case Kind.PROBE:
                answer = Datagram(kind=Kind.PROBE_ANSWER, sender=self.inner_endpoint)
                self.send(answer, datagram.sender)

    def send_to_caller(self, packet, caller):
        self.outer.sendto(packet, caller)

    def close(self):
        self.outer.close()
        self.inner.close()


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram):
        self.on_datagram = on_datagram

    def datagram_received(self, data, addr):
        self.on_datagram(data, addr)


class FakeFabric(asyncio.DatagramProtocol):
    """Distributes packets to the service address over the balancers in turn."""

    def __init__(self, balancers):
        self.balancers = balancers
        self.packet_count = 0
        for balancer in balancers:
            balancer.send_to_caller = self.send_to_caller

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        return self

    @property
    def address(self):
        return self.transport.get_extra_info("sockname")

    def datagram_received(self, data, addr):
        self.packet_count += 1
        self.balancers[self.packet_count % len(self.balancers)].on_packet(data, addr)

    def send_to_caller(self, packet, caller):
        self.transport.sendto(packet, caller)

    def close(self):
        self.transport.close()


class FakeUpstream:
    """An HTTP/1.1 server that records the requests that it started and ended."""

    def __init__(self):
        self.started = []
        self.ended = []
        self.port = free_port(socket.SOCK_STREAM)
        self.release = asyncio.Event()

    async def open(self):
        application = web.Application(client_max_size=1 << 30)
        application.router.add_get("/health", self.health)
        application.router.add_route("*", "/run", self.run)
        application.router.add_get("/feed", self.feed)
        application.router.add_get("/download", self.download)
        application.router.add_get("/truncated", self.truncated)
        application.router.add_route("*", "/hold", self.hold)
        application.router.add_post("/echo", self.echo)
        application.router.add_route("*", "/break-off", self.break_off)
        application.router.add_route("*", "/drip", self.drip)
        self.runner = web.AppRunner(
            application, handler_cancellation=True, access_log=None
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.port).start()
        return self

    async def close(self):
        await self.runner.cleanup()

    async def health(self, request):
        return web.json_response({})

    async def run(self, request):
        self.started.append(request.headers.get("X-Request-Id", ""))
        await asyncio.sleep(float(request.query.get("work_ms", 0)) / 1000)
        self.ended.append(request.headers.get("X-Request-Id", ""))
        return web.Response(text="ran")

    async def hold(self, request):
        self.started.append(request.headers.get("X-Request-Id", ""))
        try:
            await self.release.wait()
        finally:
            self.ended.append(request.headers.get("X-Request-Id", ""))
        return web.Response(text="held")

    async def feed(self, request):
        self.started.append("feed")
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        interval = float(request.query.get("interval_ms", 20)) / 1000
        try:
            for number in range(int(request.query.get("count", 100_000))):
                await response.write(b"%08d\n" % number)
                await asyncio.sleep(interval)
        finally:
            self.ended.append("feed")
        return response

    async def download(self, request):
        size = int(request.query["size"])
        return web.Response(body=bytes(range(256)) * (size // 256))

    async def truncated(self, request):
        response = web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"x" * 500)
        request.transport.close()
        return response

    async def break_off(self, request):
        self.started.append(request.headers.get("X-Request-Id", ""))
        request.transport.close()
        return web.Response()

    async def drip(self, request):
        """Send half of an answer, and the rest once released."""
        self.started.append(request.headers.get("X-Request-Id", ""))
        response = web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"x" * 500)
        await self.release.wait()
        await response.write(b"x" * 500)
        return response

    async def echo(self, request):
        body = await request.read()
        return web.Response(body=body)


class Answer:
    """The answer that a caller received on one stream."""

    def __init__(self):
        self.headers = {}
        self.body = bytearray()
        self.complete = False
        self.reset = None
        self.progress = asyncio.Event()
        self.done = asyncio.Event()

    @property
    def status(self):
        return int(self.headers.get(":status", 0))


class Caller(QuicConnectionProtocol):
    """An aioquic HTTP/3 client."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.http = H3Connection(self._quic)
        self.answers = {}
        self.goaway = asyncio.Event()
        self.ended = None

    def start(self, method, path, *, headers=(), body=None, end=True):
        stream_id = self._quic.get_next_available_stream_id()
        answer = self.answers[stream_id] = Answer()
        answer.stream_id = stream_id
        fields = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", b"orders.example"),
            (b":path", path.encode()),
            *((name.encode(), value.encode()) for name, value in headers),
        ]
        self.http.send_headers(stream_id, fields, end_stream=end and body is None)
        if body is not None:
            self.http.send_data(stream_id, body, end_stream=end)
        self.transmit()
        return answer

    async def request(self, method, path, **options):
        answer = self.start(method, path, **options)
        await asyncio.wait_for(answer.done.wait(), 20)
        return answer

    def cancel(self, answer):
        self._quic.reset_stream(answer.stream_id, 0x10C)
        self._quic.stop_stream(answer.stream_id, 0x10C)
        self.transmit()

    def quic_event_received(self, event):
        match event:
            case ConnectionTerminated():
                self.ended = event
                for answer in self.answers.values():
                    answer.progress.set()
                    answer.done.set()
            case StreamReset() if event.stream_id in self.answers:
                answer = self.answers[event.stream_id]
                answer.reset = event.error_code
                answer.progress.set()
                answer.done.set()
        for http_event in self.http.handle_event(event):
            self.on_http_event(http_event)

    def on_http_event(self, event):
        answer = self.answers.get(getattr(event, "stream_id", None))
        if answer is None:
            return
        match event:
            case HeadersReceived():
                answer.headers.update(
                    (name.decode(), value.decode()) for name, value in event.headers
                )
            case DataReceived():
                answer.body += event.data
        answer.progress.set()
        if event.stream_ended:
            answer.complete = True
            answer.done.set()


def write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "orders.example")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    certificate_path = folder / "certificate.pem"
    key_path = folder / "key.pem"
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return TlsSettings(certificate=str(certificate_path), private_key=str(key_path))


class Fleet:
    """Agents of one service behind two fake balancers, in one event loop."""

    def __init__(self, folder):
        self.tls = write_certificate(folder)
        self.agents = []
        self.upstreams = []
        self.balancers = []
        self.version = 0
        self.source = FakeConfigurationSource(ConfigurationView())
        self.service = Service(
            id="orders",
            number=3,
            address=Endpoint(host=HOST, port=443),
            classes=CLASSES,
        )
        self.hosts = []
        self.leaving = set()

    async def open(self, *, agents=1, balancers=2, slots=2, max_connections=100):
        settings = [self.make_settings(number) for number in range(agents)]
        self.hosts = [
            Upstream(
                id=entry.id,
                service="orders",
                agent=Endpoint(host=HOST, port=entry.inner_port),
                peer_port=entry.peer_port,
                failure_domain="a",
                slots=slots,
                max_connections=max_connections,
            )
            for entry in settings
        ]
        for _ in range(balancers):
            balancer = FakeBalancer(
                service=3, agents=[host.agent for host in self.hosts]
            )
            self.balancers.append(await balancer.open())
        self.fabric = await FakeFabric(self.balancers).open()
        await self.publish()
        for entry in settings:
            await self.start_agent(entry)
        return self

    def make_settings(self, number):
        return AgentSettings(
            role="agent",
            id=f"host-{number}",
            region="erongo",
            failure_domain="a",
            host=HOST,
            inner_port=free_port(),
            peer_port=free_port(socket.SOCK_STREAM),
            metrics_port=free_port(socket.SOCK_STREAM),
            platform=("http://127.0.0.1:1",),
            service="orders",
            upstream=UpstreamSettings(host=HOST, port=1),
            tls=self.tls,
        )

    async def start_agent(self, settings):
        upstream = await FakeUpstream().open()
        self.upstreams.append(upstream)
        settings = evolve(
            settings, upstream=UpstreamSettings(host=HOST, port=upstream.port)
        )
        runtime = Runtime(settings=settings, source=self.source, incarnation=1)
        agent = Agent(runtime=runtime)
        await agent.start()
        self.agents.append(agent)
        async with asyncio.timeout(5):
            while not agent.health.ready:
                await asyncio.sleep(0.01)

    async def publish(self):
        self.version += 1
        instances = {
            f"balancer-{number}": Instance(
                id=f"balancer-{number}",
                role=Role.BALANCER,
                inner=balancer.inner_endpoint,
                peer_port=1,
                region="erongo",
                failure_domain="a",
            )
            for number, balancer in enumerate(self.balancers)
        }
        for host in self.hosts:
            instances[host.id] = Instance(
                id=host.id,
                role=Role.AGENT,
                inner=host.agent,
                peer_port=host.peer_port,
                region="erongo",
                failure_domain="a",
                leaving=host.id in self.leaving,
            )
        await self.source.publish(
            ConfigurationView(
                version=self.version,
                services={"orders": self.service},
                upstreams={"orders": tuple(self.hosts)},
                keys=KEYS,
                instances=instances,
            )
        )

    @asynccontextmanager
    async def caller(self):
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            verify_mode=ssl.CERT_NONE,
            idle_timeout=20.0,
        )
        host, port = self.fabric.address
        async with connect(
            host, port, configuration=configuration, create_protocol=Caller
        ) as caller:
            yield caller

    async def close(self):
        for agent in self.agents:
            await agent.stop()
            for task in tuple(agent.runtime.tasks):
                task.cancel()
            await asyncio.gather(*agent.runtime.tasks, return_exceptions=True)
        for upstream in self.upstreams:
            upstream.release.set()
            await upstream.close()
        for balancer in self.balancers:
            balancer.close()
        self.fabric.close()
