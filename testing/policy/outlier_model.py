"""A simulation of one service's hosts, some of which fail, with the real decisions.

Time is simulated: events are handled in order, without sleeps.
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
    OutlierDetector,
    OutlierEjected,
    OutliersCommon,
    PassOpening,
    RefuseOpening,
    RequestScheduler,
    ScheduledRequest,
    TakeOpening,
    decide_opening,
)

TRANSIT_SECONDS = 0.001
SERVICE_SECONDS = 0.05
TARGET_SECONDS = 0.25
OVERDUE_SECONDS = 0.4
CLIENT_TIMEOUT_SECONDS = 1.0
FEEDS = 4
FEED_RATE = 0.3
CONFIRMATION_SHARE = 0.3


@define(eq=False)
class Fault:
    """A fault of some hosts.

    :param hosts: numbers of the hosts.
    :param share: share of requests that they fail.
    :param way: "error" (or a reset, which counts alike) or "mute".
    :param period: time between changes between bad and good phases, or None.
    """

    hosts: range
    share: float = 0.4
    way: str = "error"
    begin: float = 3.0
    end: float = 9.0
    period: float | None = None

    def strikes(self, host, now, rng):
        if host.number not in self.hosts or not self.begin <= now < self.end:
            return False
        if self.period is not None and int((now - self.begin) / self.period) % 2:
            return False
        return rng.random() < self.share


@define(eq=False)
class ModelHost:
    """One host with the state of its agent."""

    number: int
    name: bytes
    detector: OutlierDetector
    scheduler: RequestScheduler = None
    queue: list = field(factory=list)
    busy: bool = False

    def __attrs_post_init__(self):
        self.scheduler = RequestScheduler(slots=lambda: 1)


@define(eq=False)
class Call:
    """One request of a client."""

    kind: str
    at: float
    key: bytes
    host: ModelHost = None
    repeated: bool = False
    outcome: str | None = None
    done_at: float | None = None


class OutlierModel:
    """Runs seeded arrivals.

    :param ejects: False for the decision without outlier ejection.
    :ivar calls: calls of clients.
    :ivar taken: flows taken, by host and second.
    :ivar refused: number of refused flows.
    """

    def __init__(self, *, seed, faults=(), ejects=True, hosts=50, utilization=0.6):
        self.rng = random.Random(seed)
        self.faults = faults
        self.ejects = ejects
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.hosts = [self.make_host(n, hosts) for n in range(hosts)]
        self.by_name = {host.name: host for host in self.hosts}
        self.rate = hosts * utilization / SERVICE_SECONDS - hosts * FEEDS * FEED_RATE
        self.calls = []
        self.taken = defaultdict(Counter)
        self.hops = Counter()
        self.ejections = []
        self.common = []
        self.refused = 0
        self.waiting = {}

    def make_host(self, number, hosts):
        return ModelHost(
            number, bytes([10, 0, 1, number]), OutlierDetector(hosts=lambda: hosts)
        )

    def restart_agent(self, host):
        """Lose the state of an agent's detector."""
        host.detector = OutlierDetector(hosts=lambda: len(self.hosts))

    def at(self, time, call, *arguments):
        heapq.heappush(self.events, (time, next(self.numbers), call, arguments))

    def run(self, seconds):
        for host in self.hosts:
            for _ in range(FEEDS):
                self.at(self.rng.expovariate(FEED_RATE), self.ask_feed, host)
        self.at(0.0, self.arrive)
        while self.events and self.events[0][0] < seconds:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        return self

    def arrive(self):
        self.at(self.now + self.rng.expovariate(self.rate), self.arrive)
        is_confirmation = self.rng.random() < CONFIRMATION_SHARE
        kind = "confirmation" if is_confirmation else "read"
        self.open(Call(kind, self.now, self.new_key()))

    def ask_feed(self, host):
        self.at(self.now + self.rng.expovariate(FEED_RATE), self.ask_feed, host)
        self.ask(Call("feed", self.now, self.new_key(), host))

    def new_key(self):
        return next(self.numbers).to_bytes(8, "big")

    # Opening.

    def open(self, call):
        candidates = [host.name for host in self.rng.sample(self.hosts, 16)]
        self.decide(call, candidates, candidates[0], (), 0, None, False)

    def decide(self, call, candidates, name, tried, hops, best, final):
        host = self.by_name[name]
        if not final:
            self.note(
                host,
                host.detector.record_opening(
                    hops=hops, has_willing=best is not None, now=self.now
                ),
            )
        own = AskedAgent(
            agent=name,
            load=host.scheduler.load(now=self.now),
            slots=1,
            reluctance=self.find_reluctance(host, hops, best),
        )
        decision = decide_opening(
            own=own, candidates=candidates, tried=tried, hops=hops, best=best,
            final=final,
        )  # fmt: skip
        match decision:
            case TakeOpening():
                host.detector.record_taken(now=self.now)
                self.taken[host.number][int(self.now)] += 1
                self.hops[hops] += 1
                call.host = host
                self.ask(call)
            case PassOpening():
                if own.is_willing and (best is None or own.load < best.load):
                    best = BusyAgent(agent=name, load=own.load)
                self.at(
                    self.now + TRANSIT_SECONDS, self.decide, call, candidates,
                    decision.target, decision.tried, hops + 1, best, decision.final,
                )  # fmt: skip
            case RefuseOpening():
                self.refused += 1

    def find_reluctance(self, host, hops, best):
        admits = host.detector.admits(
            hops=hops, best_load=best and best.load, slots=1, now=self.now
        )
        return None if admits or not self.ejects else OpeningReason.FAILING

    def note(self, host, change):
        match change:
            case OutlierEjected():
                self.ejections.append((self.now, host.number))
            case OutliersCommon():
                self.common.append((self.now, host.number))

    # Requests.

    def ask(self, call):
        self.calls.append(call)
        request = ScheduledRequest(
            flow=call.key, priority=0, deadline_at=call.at + CLIENT_TIMEOUT_SECONDS
        )
        self.waiting[call.key] = call
        self.apply(call.host, call.host.scheduler.submit(request, now=self.now))
        self.at(call.at + CLIENT_TIMEOUT_SECONDS, self.give_up, call)

    def apply(self, host, change):
        for key in change.sent:
            call = self.waiting.pop(key)
            host.queue.append(call)
            self.at(self.now + OVERDUE_SECONDS, self.check_overdue, host, call)
        self.start(host)

    def start(self, host):
        if host.busy or not host.queue:
            return
        call = host.queue.pop(0)
        host.busy = True
        seconds = self.rng.expovariate(1.0 / SERVICE_SECONDS)
        self.at(self.now + seconds, self.end, host, call)

    def end(self, host, call):
        host.busy = False
        struck = [f for f in self.faults if f.strikes(host, self.now, self.rng)]
        if struck and struck[0].way == "mute":
            call.outcome = call.outcome or "mute"
        else:
            self.answer(host, call, failed=bool(struck))
        self.start(host)

    def answer(self, host, call, *, failed):
        was_overdue = call.outcome == "overdue"
        if call.outcome is None or was_overdue:
            call.outcome = "failed" if failed else "answered"
            call.done_at = self.now
        if not was_overdue:
            change = host.detector.record_response(failed=failed, now=self.now)
            self.note(host, change)
        elif not failed:
            host.detector.withdraw_failure(now=self.now)
        self.apply(host, host.scheduler.end(call.key, now=self.now))
        if failed and call.kind == "read" and not call.repeated:
            self.open(Call("repeat", call.at, self.new_key(), repeated=True))

    def check_overdue(self, host, call):
        if call.outcome in (None, "mute"):
            call.outcome = "overdue" if call.outcome is None else "mute"
            change = host.detector.record_response(failed=True, now=self.now)
            self.note(host, change)

    def give_up(self, call):
        if call.outcome in (None, "mute", "overdue"):
            call.outcome = "lost"
            if call.key in self.waiting:
                del self.waiting[call.key]
            self.apply(call.host, call.host.scheduler.end(call.key, now=self.now))

    # Results.

    def failed(self, *kinds, begin=3.0, end=9.0):
        """Return the share of calls that failed or were lost."""
        calls = self.select(kinds, begin, end)
        return sum(call.outcome != "answered" for call in calls) / len(calls)

    def in_time(self, *kinds, begin=3.0, end=9.0):
        """Return the share of calls that were answered within the target."""
        calls = self.select(kinds, begin, end)
        return sum(
            call.outcome == "answered" and call.done_at - call.at <= TARGET_SECONDS
            for call in calls
        ) / len(calls)

    def select(self, kinds, begin, end):
        return [c for c in self.calls if c.kind in kinds and begin <= c.at < end]

    def count_taken(self, host, second):
        return self.taken[host][second]
