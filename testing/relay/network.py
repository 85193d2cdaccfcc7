"""A fleet of balancers, agents and hosts in one thread, on a clock of its own."""

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
from daisygauge_relay._settings import RelayAgentSettings, RelayBalancerSettings

CROSSING_SECONDS = 0.001
INNER_PORT = 7720
CLIENT_PORT = 8172
SERVICE = "order-desk"
SERVICE_END = ("198.18.0.1", 443)
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n"


def pack_end(host: str, port: int) -> bytes:
    return inet_aton(host) + port.to_bytes(2, "big")


def pack_packet(source, target, *, flags=0, sequence=0, acknowledged=0, data=b""):
    head = HEADER.pack(
        sequence, acknowledged, len(data), flags, 0, pack_end(*target),
        pack_end(*source), 77,
    )  # fmt: skip
    return head + data


class Clock:
    """Calls due at later times, in order."""

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
    """Keeps events; checks that their fields are those of the catalogue."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        assert set(fields) == set(event.fields), (event.name, fields)
        self.lines.append((event.name, fields))

    def names(self):
        return Counter(name for name, _ in self.lines)


class FakeRuntime:
    """What balancers and agents ask of their process."""

    def __init__(self, clock, directory, settings):
        self.clock = clock
        self.directory = directory
        self.settings = settings
        self.counters = RelayCounters()
        self.log = RecordingLog()
        self.is_leaving = False
        self.now = clock.now
        self.call_later = clock.call_later

    def report_error(self, error):
        raise error

    def belief(self):
        return {"version": self.directory.view.version, "as_of": 1, "age_seconds": 0.0}


@define
class HostFlow:
    """One flow at its host; ``sent`` counts the bytes of its answers."""

    sequence: int
    is_open: bool = False
    requests: int = 0
    sent: int = 0


class FakeHost:
    """An upstream: answers opening packets, runs requests, returns the rest."""

    def __init__(self, network, address, *, service=SERVICE, slots=2):
        self.network = network
        self.address = address
        self.service = service
        self.slots = slots
        self.flows = {}
        self.running = 0
        self.queue = []
        self.most_running = 0
        self.ran = []
        self.foreign = Counter()
        self.is_dark = False
        self.refuses = False
        self.work_seconds = 0.03

    def receive(self, data):
        if self.is_dark:
            return
        seq, ack, length, flags, _, dst, src, _ = HEADER.unpack_from(data)
        assert not flags & BOUNCED
        flow = self.flows.get(src + dst)
        if flags & SYN:
            self.open(src, dst, flow, data)
        elif flow is None or not self.accepts(flow, ack):
            self.foreign[src + dst] += 1
            self.give_back(data)
        elif length:
            flow.requests += 1
            self.queue.append((src, dst, ack, data[HEADER.size :]))
            self.start()

    def open(self, src, dst, flow, data):
        if self.refuses:
            self.give_back(data)
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
            self.most_running = max(self.most_running, self.running + len(self.queue))
            self.network.clock.call_later(
                self.work_seconds, lambda r=request: self.end(r)
            )

    def end(self, request):
        src, dst, ack, body = request
        self.running -= 1
        self.ran.append(body)
        flow = self.flows.get(src + dst)
        sequence = ack if flow is None else flow.sequence + 1 + flow.sent
        if flow is not None:
            flow.sent += len(ANSWER)
        if not self.is_dark:
            self.send(dst, src, flags=ACK, sequence=sequence, data=ANSWER)
        self.start()

    def give_back(self, data):
        head = bytearray(data)
        head[10] |= BOUNCED
        self.network.from_host(self.address, bytes(head))

    def send(self, source, target, *, flags, sequence, data=b""):
        head = HEADER.pack(sequence, 1, len(data), flags, 0, target, source, 5)
        self.network.from_host(self.address, head + data)


class NetworkEndpoint:
    """Sends into the network from one instance."""

    def __init__(self, network, host):
        self.network = network
        self.host = host

    def send(self, data, address):
        self.network.carry(self.host, data, address)

    def close(self):
        pass


@define(kw_only=True)
class FakeClient:
    """One flow of a client, from its own end."""

    network: object
    end: tuple
    service: tuple = SERVICE_END
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
                delay, lambda copy=copy: self.knock(balancer, copy)
            )

    def knock(self, balancer, copy=0):
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
    """Every instance of a small fleet, with links that can be cut."""

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

    # What operators and hosts publish.

    def publish(self, item):
        self.records[item.key] = item
        for directory in self.directories.values():
            directory.apply([item], as_of=item.revision, now=self.clock.now())

    def publish_routes(self, *ports, version=None, services=((SERVICE, 1.0),)):
        self.revision += 1
        host, port = SERVICE_END
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
            address=host.address, port=9000, failure_domain="a", state=state,
            slots=host.slots, incarnation=incarnation,
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

    def add_host(self, address, *, service=SERVICE, slots=2):
        host = self.hosts[address] = FakeHost(
            self, address, service=service, slots=slots
        )
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

    def start_agent(self, address):
        settings = RelayAgentSettings(
            **self.shared_settings(address), service=self.hosts[address].service,
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

    def new_client(self, *, service=SERVICE_END):
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

    # Packets on their way.

    def to_balancer(self, address, data):
        if address not in self.down:
            balancer = self.balancers[address]
            self.later(lambda: balancer.receive_packet(data, ("router", 1)))

    def from_host(self, address, data):
        if address not in self.down:
            self.later(lambda: self.agents[address].receive_upstream(data, ("host", 1)))

    def carry(self, source, data, address):
        host, port = address
        self.sent[source] += 1
        if source in self.down or (source, host) in self.cut:
            return
        self.later(lambda: self.arrive(source, data, host, port))

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
            if pack_end(*end) == dst:
                client.receive(data)

    def later(self, call):
        self.clock.call_later(CROSSING_SECONDS, call)

    def holder_of(self, client):
        key = pack_end(*client.end) + pack_end(*client.service)
        for host in self.hosts.values():
            flow = host.flows.get(key)
            if flow is not None and flow.is_open:
                return host
        return None


def ask_all(network, clients, *, balancer, sequence=1, seconds=0.6):
    """Send a request in each flow; return how many were answered."""
    before = [client.answers for client in clients]
    for client in clients:
        client.ask(balancer, sequence=sequence)
    network.clock.run(seconds)
    return sum(
        client.answers > count for client, count in zip(clients, before, strict=True)
    )


def restart_host(network, address):
    """Let a host crash and begin anew at its address."""
    host = network.hosts[address]
    host.flows.clear()
    network.publish_host(host, incarnation=2)


def confirm(network):
    """Let every process hear from the platform."""
    for directory in network.directories.values():
        directory.replace(
            list(network.records.values()),
            as_of=network.revision,
            now=network.clock.now(),
        )
