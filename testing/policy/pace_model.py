"""A model of hosts with different speeds that crash and return, with real decisions.

Time is simulated: events are handled in order, without sleeps. Flows of two kinds open
at agents in a random order of their own: short ones with one request, and feeds with a
request every few seconds, which stay at their host until it crashes.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict

from attrs import define, field

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    OpeningReason,
    PassOpening,
    PeerEntry,
    RefuseOpening,
    SettledPeers,
    TakeOpening,
    decide_opening,
)

WORK_SECONDS = 0.034
WORK_SIGMA = 0.7
"""Shape of the lognormal work; the 99th percentile is 4 x the mean."""
COLD_SECONDS = 2.0
COLD_SLOWNESS = 1.6
ENTRY_SECONDS = 0.5
"""Time after which the other agents see the entry of a host that has started."""
PENALTY = 1
YOUNG_SECONDS = 3.0
HOP_SECONDS = 0.001
FEED_SECONDS = 20.0
FEED_INTERVAL_SECONDS = 3.0
SPEEDS = (0.6, 1.0, 1.6)


class NoPace:
    """Takes flows as if the host had never started."""

    rate = None

    def start(self, *, slow_seconds, now):
        pass

    def record_response(self, seconds, *, now):
        pass

    def record_failure(self, *, now):
        pass

    def may_take(self, *, is_idle, now):
        return True

    def record_taken(self, *, now):
        pass


@define(eq=False)
class ModelHost:
    """One host with one slot, and the pace that its agent keeps.

    :ivar returned_at: time of the last return, or -inf before the first crash.
    :ivar flows: open feeds.
    """

    name: bytes
    speed: float
    pace: object
    is_up: bool = True
    returned_at: float = float("-inf")
    queue: list = field(factory=list)
    running: object = None
    flows: set = field(factory=set)
    life: int = 0
    peers: SettledPeers = field(factory=SettledPeers)

    def load(self):
        return len(self.queue) + (self.running is not None)

    def age(self, now):
        return now - self.returned_at


@define(eq=False)
class Request:
    """One request: of which kind, when it began, and how much work it is."""

    kind: str
    began: float
    work: float
    feed: object = None
    started: float = 0.0
    taken: float = 0.0


@define(eq=False)
class Feed:
    """A long flow with its host, or None while it is being opened."""

    until: float
    host: object = None
    is_broken: bool = False


class PaceModel:
    """Plays load on hosts of one service.

    :ivar done: (time of completion, host, age of the host at the start, kind, latency,
        work time) of each request.
    :ivar refused: number of flows that no agent took.
    :ivar hops: agents asked for each flow.
    """

    def __init__(self, *, make_pace, seed, hosts_each=2, feed_share=0.5, cold=True):
        self.rng = random.Random(seed)
        self.hosts = [
            ModelHost(bytes([10, 0, 0, n]), speed, make_pace())
            for n, speed in enumerate(SPEEDS * hosts_each)
        ]
        self.by_name = {host.name: host for host in self.hosts}
        self.feed_share = feed_share
        self.cold = cold
        self.events = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.done = []
        self.lost = Counter()
        self.refused = 0
        self.hops = []
        self.publish()

    def at(self, when, call, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), call, arguments))

    def run(self, *, load, seconds):
        rate = load * sum(h.speed for h in self.hosts) / WORK_SECONDS
        self.arrivals(rate * (1.0 - self.feed_share), seconds, self.open_short)
        feeds = rate * self.feed_share * FEED_INTERVAL_SECONDS
        for _ in range(int(feeds)):
            self.at(self.rng.uniform(0.0, 3.0), self.open_feed)
        self.arrivals(feeds / FEED_SECONDS, seconds, self.open_feed)
        while self.events and self.events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self

    def arrivals(self, rate, seconds, call):
        when = 0.0
        while rate and (when := when + self.rng.expovariate(rate)) < seconds:
            self.at(when, call)

    # Clients.

    def open_short(self):
        self.place(self.new_request("short"))

    def open_feed(self):
        until = self.now + self.rng.expovariate(1.0 / FEED_SECONDS)
        self.ask(Feed(until=until))

    def ask(self, feed):
        if self.now > feed.until:
            if feed.host is not None:
                feed.host.flows.discard(feed)
            return
        request = self.new_request("feed", feed)
        if feed.is_broken:
            # Its client learns of the lost flow from this request, which fails.
            feed.is_broken = False
            self.lost["feed"] += 1
        elif feed.host is None:
            self.place(request)
        else:
            self.submit(feed.host, request)
        pause = FEED_INTERVAL_SECONDS * self.rng.uniform(0.7, 1.3)
        self.at(self.now + pause, self.ask, feed)

    def new_request(self, kind, feed=None):
        sigma = WORK_SIGMA
        work = WORK_SECONDS * self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        return Request(kind=kind, began=self.now, work=work, feed=feed)

    # Agents.

    def place(self, request):
        order = [host.name for host in self.hosts]
        self.rng.shuffle(order)
        target, tried, hops, best, final = order[0], (), 0, None, False
        while True:
            host = self.by_name[target]
            own = self.describe(host)
            decision = decide_opening(
                own=own, candidates=order, tried=tried, hops=hops, best=best,
                final=final,
            )  # fmt: skip
            match decision:
                case TakeOpening():
                    host.pace.record_taken(now=self.now)
                    self.hops.append(hops)
                    if request.feed is not None:
                        request.feed.host = host
                        host.flows.add(request.feed)
                    self.at(self.now + HOP_SECONDS * hops, self.submit, host, request)
                    return
                case RefuseOpening():
                    self.refused += 1
                    return
                case PassOpening():
                    if own.is_willing and (best is None or own.load < best.load):
                        best = BusyAgent(agent=own.agent, load=own.load)
                    target, tried, final = (
                        decision.target, decision.tried, decision.final,
                    )  # fmt: skip
                    hops += 1

    def describe(self, host):
        load = host.load()
        is_limited = host.peers.are_enough(now=self.now) and not host.pace.may_take(
            is_idle=load == 0, now=self.now
        )
        return AskedAgent(
            agent=host.name,
            load=load + PENALTY * is_limited,
            slots=1,
            inability=None if host.is_up else OpeningReason.SILENT,
        )

    # Hosts.

    def submit(self, host, request):
        if not host.is_up:
            self.lost[request.kind] += 1
            if request.feed is not None:
                request.feed.host = None
            return
        request.taken = self.now
        host.queue.append(request)
        self.start(host)

    def start(self, host):
        if host.running is not None or not host.queue:
            return
        request = host.running = host.queue.pop(0)
        request.started = self.now
        is_cold = self.cold and host.age(self.now) < COLD_SECONDS
        slowness = COLD_SLOWNESS if is_cold else 1.0
        seconds = request.work * slowness / host.speed
        self.at(self.now + seconds, self.finish, host, request, host.life)

    def finish(self, host, request, life):
        if life != host.life:
            return
        host.running = None
        age = request.taken - host.returned_at
        seconds = self.now - request.started
        host.pace.record_response(seconds, now=self.now)
        latency = self.now - request.began
        self.done.append((self.now, host, age, request.kind, latency, seconds))
        self.start(host)

    def crash(self, host, *, down_seconds):
        host.is_up = False
        host.life += 1
        running = () if host.running is None else (host.running,)
        self.lost.update(request.kind for request in (*host.queue, *running))
        host.queue.clear()
        host.running = None
        for feed in host.flows:
            feed.host, feed.is_broken = None, True
        host.flows.clear()
        self.at(self.now + down_seconds, self.come_back, host)

    def come_back(self, host):
        host.is_up = True
        host.returned_at = self.now
        host.pace.start(slow_seconds=COLD_SECONDS, now=self.now)
        self.at(self.now + ENTRY_SECONDS, self.publish)

    def publish(self):
        """Let every agent see the entries of the other hosts."""
        for agent in self.hosts:
            entries = [
                PeerEntry(
                    id=str(host.name),
                    incarnation=int(max(host.returned_at, 0.0) * 1000),
                    slow_start_seconds=max(COLD_SECONDS - host.age(self.now), 0.0),
                )
                for host in self.hosts
                if host is not agent
            ]
            agent.peers.observe(entries, now=self.now)

    # Measures.

    def latencies(self, keep):
        """Return the latencies of the requests that ``keep`` accepts, by kind."""
        by_kind = defaultdict(list)
        for when, host, age, kind, latency, _ in self.done:
            if keep(when, host, age):
                by_kind[kind].append(latency)
        return by_kind


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
