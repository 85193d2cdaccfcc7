"""Simulated balancers, agents, hosts and clients in one thread, on a fake clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from socket import inet_aton

from attrs import define, field

from daisygauge_control import (
    Directory,
    DirectoryItem,
    EvacuationRecord,
    HostRecord,
    HostState,
    RouteRecord,
    RoutingRecord,
    ServiceShare,
)
from daisygauge_platform._packets import (
    ACK,
    BOUNCED,
    HEADER,
    RST,
    SYN,
    PlatformCodec,
)
from daisygauge_relay._agent import RelayAgent
from daisygauge_relay._balancer import RelayBalancer
from daisygauge_relay._counters import RelayCounters
from daisygauge_relay._evacuations import Evacuations
from daisygauge_relay._settings import RelayAgentSettings, RelayBalancerSettings

LATENCY_SECONDS = 0.001
INNER_PORT = 7720
CLIENT_PORT = 8172
SERVICE = "order-desk"
SERVICE_ENDPOINT = ("198.18.0.1", 443)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"


def pack_endpoint(host: str, port: int) -> bytes:
    return inet_aton(host) + port.to_bytes(2, "big")


def pack_packet(source, target, *, flags=0, sequence=0, acknowledged=0, data=b""):
    head = HEADER.pack(
        sequence, acknowledged, len(data), flags, 0, pack_endpoint(*target),
        pack_endpoint(*source), 77,
    )  # fmt: skip
    return head + data


class Clock:
    """A fake clock that runs scheduled calls in order of time."""

    def __init__(self):
        self.time = 100.0
        self.calls = []
        self.numbers = itertools.count()

    def now(self):
        return self.time

    def call_later(self, seconds, call):
        heapq.heappush(self.calls, (self.time + seconds, next(self.numbers), call))

    def run(self, seconds):
        end = self.time + seconds
        while self.calls and self.calls[0][0] <= end:
            self.time, _, call = heapq.heappop(self.calls)
            call()
        self.time = end


class RecordingLog:
    """Records events; checks that they have the fields that their definition lists."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        assert set(fields) == set(event.fields), (event.name, fields)
        self.lines.append((event.name, fields))

    def names(self):
        return Counter(name for name, _ in self.lines)


class FakeRuntime:
    """The part of RelayRuntime that balancers and agents use."""

    def __init__(self, clock, directory, settings):
        self.clock = clock
        self.directory = directory
        self.settings = settings
        self.counters = RelayCounters()
        self.log = RecordingLog()
        self.evacuations = Evacuations(
            log=self.log, directory=directory, clock=clock.now,
            arrivals=self.counters.evacuated_openings,
        )  # fmt: skip
        self.is_leaving = False
        self.now = clock.now
        self.call_later = clock.call_later

    def report_error(self, error):
        raise error

    def known_state(self):
        return {"version": self.directory.view.version, "as_of": 1, "age_seconds": 0.0}


@define
class HostFlow:
    """One flow at its host.

    :param requests: number of requests received.
    :param sent: bytes of answers sent.
    :param received: sequence numbers of the client's packets with data.
    :param data_packets: number of packets with data, repeated ones included.
    """

    sequence: int
    is_open: bool = False
    requests: int = 0
    sent: int = 0
    received: set = field(factory=set)
    data_packets: int = 0


class FakeHost:
    """An upstream: answers opening packets, runs requests, returns unknown flows.

    Data that the client repeats is a request only once.

    :ivar max_pending: most requests that ran or waited at one time.
    :ivar executed: bodies of the requests that ran to the end.
    :ivar unknown_flows: packets of unknown flows, by flow.
    :ivar is_silent: True to ignore packets and send none.
    :ivar returns_openings: True to return every opening packet.
    :ivar answer: the response to each request; None to send none.
    :ivar answer_flags: flags of the packet with the response.
    """

    def __init__(self, network, address, *, service=SERVICE, slots=2):
        self.network = network
        self.address = address
        self.service = service
        self.slots = slots
        self.failure_domain = "a"
        self.flows = {}
        self.running = 0
        self.queue = []
        self.max_pending = 0
        self.executed = []
        self.unknown_flows = Counter()
        self.is_silent = False
        self.returns_openings = False
        self.answer = ANSWER
        self.answer_flags = ACK
        self.work_seconds = 0.03

    def receive(self, data):
        if self.is_silent:
            return
        seq, ack, length, flags, _, dst, src, _ = HEADER.unpack_from(data)
        assert not flags & BOUNCED
        flow = self.flows.get(src + dst)
        if flags & SYN:
            self.open(src, dst, flow, data)
        elif flow is None or not self.accepts(flow, ack):
            self.unknown_flows[src + dst] += 1
            self.return_packet(data)
        elif length:
            flow.data_packets += 1
            self.accept_data(flow, seq, (src, dst, ack, data[HEADER.size :]))

    def accept_data(self, flow, seq, request):
        if seq in flow.received:
            return
        flow.received.add(seq)
        flow.requests += 1
        self.queue.append(request)
        self.start()

    def open(self, src, dst, flow, data):
        if self.returns_openings:
            self.return_packet(data)
            return
        if flow is None:
            flow = self.flows[src + dst] = HostFlow(self.network.rng.randrange(2**31))
        self.send(dst, src, flags=SYN | ACK, sequence=flow.sequence)

    def accepts(self, flow, ack):
        flow.is_open = flow.is_open or ack == flow.sequence + 1
        return flow.is_open

    def start(self):
        while self.queue and self.running < self.slots:
            request = self.queue.pop(0)
            self.running += 1
            self.max_pending = max(self.max_pending, self.running + len(self.queue))
            self.network.clock.call_later(
                self.work_seconds, lambda r=request: self.end(r)
            )

    def end(self, request):
        src, dst, ack, body = request
        self.running -= 1
        self.executed.append(body)
        flow = self.flows.get(src + dst)
        sequence = ack if flow is None else flow.sequence + 1 + flow.sent
        answer = self.answer
        if flow is not None and answer is not None:
            flow.sent += len(answer)
        if not self.is_silent and answer is not None:
            self.send(dst, src, flags=self.answer_flags, sequence=sequence, data=answer)
        self.start()

    def return_packet(self, data):
        head = bytearray(data)
        head[10] |= BOUNCED
        self.network.from_host(self.address, bytes(head))

    def send(self, source, target, *, flags, sequence, data=b""):
        head = HEADER.pack(sequence, 1, len(data), flags, 0, target, source, 5)
        self.network.from_host(self.address, head + data)


class NetworkEndpoint:
    """Sends datagrams from one instance into the simulated network."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def send(self, data, address):
        self.network.transmit(self.host, data, address)

    def close(self):
        pass


@define(kw_only=True)
class FakeClient:
    """The client's end of one flow."""

    network: object
    end: tuple
    service: tuple = SERVICE_ENDPOINT
    host_sequence: int | None = None
    received: list = field(factory=list)
    resets: int = 0
    transport: object = None

    @property
    def is_open(self):
        return self.host_sequence is not None

    @property
    def answers(self):
        return len(self.received)

    def connect(self, balancer, *, copies=1):
        for copy in range(copies):
            delay = (0.0, 0.2, 0.6)[copy]
            self.network.clock.call_later(
                delay, lambda copy=copy: self.send_opening(balancer, copy)
            )

    def send_opening(self, balancer, copy=0):
        if self.is_open:
            return
        data = pack_packet(self.end, self.service, flags=SYN, acknowledged=copy)
        self.network.to_balancer(balancer, data)

    def ask(self, balancer, body=b"GET / HTTP/1.1\r\n\r\n", *, sequence=1):
        data = pack_packet(
            self.end, self.service, flags=ACK, sequence=sequence,
            acknowledged=self.host_sequence + 1 + sum(map(len, self.received)),
            data=body,
        )  # fmt: skip
        self.network.to_balancer(balancer, data)

    def receive(self, data):
        seq, _, length, flags, *_ = HEADER.unpack_from(data)
        if flags & RST:
            self.resets += 1
        elif flags & SYN and not self.is_open:
            self.host_sequence = seq
        elif length:
            self.received.append(data[HEADER.size :])


class Network:
    """The instances of a small fleet, with links that can be cut.

    :ivar cut: pairs of sender and receiver whose datagrams are lost.
    :ivar down: instances that neither send nor receive.
    :ivar sent: datagrams sent, by instance.
    """

    def __init__(self, *, hosts=4, balancers=2, slots=2, seed=1, first_start=True):
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.codec = PlatformCodec()
        self.directories = {}
        self.hosts = {}
        self.agents = {}
        self.balancers = {}
        self.clients = {}
        self.cut = set()
        self.down = set()
        self.sent = Counter()
        self.first_start = first_start
        self.records = {}
        self.revision = 1
        self.publish_routes()
        for number in range(hosts):
            self.add_host(f"10.0.1.{number + 1}", slots=slots)
        for number in range(balancers):
            self.start_balancer(f"10.0.0.{number + 1}")

    # Publishing directory records.

    def publish(self, item):
        self.records[item.key] = item
        for name, directory in self.directories.items():
            accepted = directory.apply(
                [item], as_of=item.revision, now=self.clock.now()
            )
            process = self.agents.get(name) or self.balancers.get(name)
            if process is not None:
                process.runtime.evacuations.record(accepted)

    def publish_evacuation(self, failure_domain, *, ends=False):
        self.revision += 1
        content = None if ends else EvacuationRecord(failure_domain=failure_domain)
        key = f"evacuate/{failure_domain}"
        self.publish(DirectoryItem(key=key, revision=self.revision, content=content))

    def publish_routes(self, *ports, version=None, services=((SERVICE, 1.0),)):
        self.revision += 1
        host, port = SERVICE_ENDPOINT
        routes = tuple(
            RouteRecord(
                name=f"route-{p}", host=host, port=p,
                shares=tuple(ServiceShare(service=n, weight=w) for n, w in services),
                target_latency_seconds=0.2,
                timeout_seconds=1.0,
            )
            for p in (ports or (port,))
        )  # fmt: skip
        record = RoutingRecord(
            version=version or self.revision, routes=routes, idle_timeout_seconds=15.0
        )
        self.publish(
            DirectoryItem(key="config", revision=self.revision, content=record)
        )

    def publish_host(self, host, *, state=HostState.READY, incarnation=1):
        self.revision += 1
        record = HostRecord(
            id=f"host-{host.address}-{incarnation}", service=host.service,
            address=host.address, port=9000, failure_domain=host.failure_domain,
            state=state, slots=host.slots, incarnation=incarnation,
        )  # fmt: skip
        self.publish(
            DirectoryItem(key=record.id, revision=self.revision, content=record)
        )

    def new_directory(self, name):
        directory = self.directories[name] = Directory()
        directory.replace(
            list(self.records.values()), as_of=self.revision, now=self.clock.now()
        )
        return directory

    # Instances.

    def add_host(self, address, *, service=SERVICE, slots=2, failure_domain="a"):
        host = self.hosts[address] = FakeHost(
            self, address, service=service, slots=slots
        )
        host.failure_domain = failure_domain
        self.publish_host(host)
        self.start_agent(address)
        return host

    def shared_settings(self, host):
        return {
            "id": host,
            "region": "r",
            "failure_domain": "a",
            "host": host,
            "client_address": f"{host}:{CLIENT_PORT}",
            "ready": f"{host}:8167",
            "inner_ports": [INNER_PORT, INNER_PORT + 15],
            "platform": "10.9.9.9:80",
            "first_start": self.first_start,
        }

    def start_agent(self, address, **changes):
        settings = RelayAgentSettings(
            **self.shared_settings(address) | changes,
            service=self.hosts[address].service,
            upstream=f"{address}:9000", outbound=f"{address}:8162",
        )  # fmt: skip
        runtime = FakeRuntime(self.clock, self.new_directory(address), settings)
        agent = RelayAgent(runtime=runtime, settings=settings, codec=self.codec)
        agent.inner = agent.outbound = NetworkEndpoint(self, address)
        self.agents[address] = agent
        self.down.discard(address)
        return agent

    def start_balancer(self, address):
        settings = RelayBalancerSettings(
            **self.shared_settings(address), ingress=f"{address}:{CLIENT_PORT}"
        )
        runtime = FakeRuntime(self.clock, self.new_directory(address), settings)
        balancer = RelayBalancer(runtime=runtime, settings=settings, codec=self.codec)
        balancer.inner = balancer.ingress = NetworkEndpoint(self, address)
        self.balancers[address] = balancer
        self.down.discard(address)
        return balancer

    def new_client(self, *, service=SERVICE_ENDPOINT):
        end = (f"100.64.0.{len(self.clients) % 250 + 1}", 40_000 + len(self.clients))
        client = FakeClient(network=self, end=end, service=service)
        self.clients[end] = client
        return client

    def open_clients(self, count, *, balancer="10.0.0.1"):
        clients = [self.new_client() for _ in range(count)]
        for client in clients:
            client.connect(balancer)
        self.clock.run(0.05)
        return clients

    # Packet delivery.

    def to_balancer(self, address, data):
        if address not in self.down:
            balancer = self.balancers[address]
            self.deliver_later(lambda: balancer.receive_packet(data, ("router", 1)))

    def from_host(self, address, data):
        if address not in self.down:
            self.deliver_later(
                lambda: self.agents[address].receive_upstream(data, ("host", 1))
            )

    def transmit(self, source, data, address):
        host, port = address
        self.sent[source] += 1
        if source in self.down or (source, host) in self.cut:
            return
        self.deliver_later(lambda: self.arrive(source, data, host, port))

    def arrive(self, source, data, host, port):
        if host in self.clients_by_host:
            self.clients_by_host[host](data)
        elif host in self.down:
            return
        elif port == 9000:
            self.hosts[host].receive(data)
        elif host in self.agents:
            self.agents[host].receive_frame(data, (source, INNER_PORT))
        elif host in self.balancers:
            self.balancers[host].receive_frame(data, (source, INNER_PORT))

    @property
    def clients_by_host(self):
        return {end[0]: self.deliver_to_client for end in self.clients}

    def deliver_to_client(self, data):
        _, _, _, _, _, dst, _, _ = HEADER.unpack_from(data)
        for end, client in self.clients.items():
            if pack_endpoint(*end) == dst:
                client.receive(data)

    def deliver_later(self, call):
        self.clock.call_later(LATENCY_SECONDS, call)

    def holder_of(self, client):
        key = pack_endpoint(*client.end) + pack_endpoint(*client.service)
        for host in self.hosts.values():
            flow = host.flows.get(key)
            if flow is not None and flow.is_open:
                return host
        return None


def ask_all(network, clients, *, balancer, sequence=1, seconds=0.6):
    """Send a request on each flow; return the number of answered ones."""
    before = [client.answers for client in clients]
    for client in clients:
        client.ask(balancer, sequence=sequence)
    network.clock.run(seconds)
    return sum(
        client.answers > count for client, count in zip(clients, before, strict=True)
    )


def restart_host(network, address):
    """Simulate a crash and restart of a host at its address."""
    host = network.hosts[address]
    host.flows.clear()
    network.publish_host(host, incarnation=2)


def refresh_directories(network):
    """Update every directory as if read from the platform now."""
    for directory in network.directories.values():
        directory.replace(
            list(network.records.values()),
            as_of=network.revision,
            now=network.clock.now(),
        )
