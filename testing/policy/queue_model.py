"""A simulation of the hosts of one service that uses the real decisions.

Time is simulated: events are handled in order, without sleeps.
"""

import heapq
import itertools
import random
from collections import Counter

from attrs import define, field

from daisygauge_policy import (
    AdmissionQueue,
    Admit,
    HandToPeer,
    PeerLoadReports,
    RecentCompletions,
    SentRequests,
    ServiceTimes,
    SlotUse,
    WaitingRequest,
    choose_peer,
)
from daisygauge_wire import LoadReport

SLOTS = 2
LOAD_REPORT_INTERVAL_SECONDS = 0.2
TRANSIT_SECONDS = 0.002
WORK_SECONDS = 0.1


@define(eq=False)
class ModelHost:
    """One host with the state of its agent."""

    id: str
    queue: AdmissionQueue
    slowness: float = 1.0
    running: dict = field(factory=dict)
    times: ServiceTimes = field(factory=ServiceTimes)
    recent: RecentCompletions = field(factory=RecentCompletions)
    reports: PeerLoadReports = field(factory=PeerLoadReports)
    sent: SentRequests = field(factory=SentRequests)
    sequence: int = 0

    def load_report(self, now):
        self.sequence += 1
        return LoadReport(
            slots=SLOTS,
            running=len(self.running),
            waiting=len(self.queue),
            connections=0,
            max_connections=1,
            service_seconds=self.times.overall_seconds,
            leaving=False,
            ready=True,
            sequence=self.sequence,
            recent_completions=self.recent.count(now=now),
        )

    def slot_use(self):
        return SlotUse(limit=SLOTS, expected_ends=tuple(self.running.values()))


class QueueModel:
    """Runs seeded arrivals until every request has ended.

    :ivar done: requests done by each host.
    :ivar worth: worth answered in time.
    """

    def __init__(self, *, queue, hand_off, hosts=7, seed=1):
        self.rng = random.Random(seed)
        self.hand_off = hand_off
        self.hosts = [
            ModelHost(f"host-{n}", AdmissionQueue(queue, slots=SLOTS, caller_share=1.0))
            for n in range(hosts)
        ]
        self.by_id = {host.id: host for host in self.hosts}
        self.events = []
        self.numbers = itertools.count()
        self.done = Counter()
        self.handed_off = {}
        self.worth = self.offered = 0.0
        self.now = 0.0

    def schedule(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self, *, load, seconds, entry_hosts):
        rate = load * len(self.hosts) * SLOTS / WORK_SECONDS
        arrival = 0.0
        while (arrival := arrival + self.rng.expovariate(rate)) < seconds:
            self.schedule(arrival, self.arrive, self.rng.randrange(entry_hosts))
        for tick in range(int(seconds / LOAD_REPORT_INTERVAL_SECONDS) + 1):
            self.schedule(tick * LOAD_REPORT_INTERVAL_SECONDS, self.exchange_reports)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def exchange_reports(self):
        for host in self.hosts:
            report = host.load_report(self.now)
            for peer in self.hosts:
                if peer is not host:
                    peer.reports.update(
                        host.id, incarnation=1, report=report, now=self.now
                    )

    def arrive(self, entry):
        host = self.hosts[entry]
        worth = self.rng.choice([1.0, 5.0])
        self.offered += worth
        request = WaitingRequest(
            id=str(next(self.numbers)),
            caller="caller",
            worth=worth,
            expected_seconds=host.times.expected_seconds("any"),
            arrived=self.now,
            deadline=self.now + 2.0,
        )
        loads = host.sent.loads(host.reports.fresh(now=self.now))
        decision = choose_peer(
            hand_off=self.hand_off,
            own=host.load_report(self.now),
            peers=loads,
            rng=self.rng,
        )
        if isinstance(decision, HandToPeer):
            sent = host.sent.add(decision.peer, now=self.now)
            target = self.by_id[decision.peer]
            self.handed_off[request.id] = (host, sent)
            self.schedule(self.now + TRANSIT_SECONDS, self.offer, target, request)
        else:
            self.offer(host, request)

    def offer(self, host, request):
        decision = host.queue.offer(request, slots=host.slot_use(), now=self.now)
        if isinstance(decision, Admit):
            for refusal in decision.refused:
                self.end_hand_off(refusal.request)
            self.start_waiting(host)
        else:
            self.end_hand_off(request)

    def end_hand_off(self, request):
        sender, sent = self.handed_off.pop(request.id, (None, None))
        if sender is not None:
            sender.sent.end(sent, now=self.now)

    def start_waiting(self, host):
        for refusal in host.queue.refuse_late(slots=host.slot_use(), now=self.now):
            self.end_hand_off(refusal.request)
        while len(host.running) < SLOTS:
            request = host.queue.take_next()
            if request is None:
                return
            work = self.rng.expovariate(1.0 / WORK_SECONDS) * host.slowness
            host.running[request.id] = self.now + request.expected_seconds
            self.schedule(self.now + work, self.finish, host, request, work)

    def finish(self, host, request, work):
        del host.running[request.id]
        host.times.observe("any", seconds=work)
        host.recent.add(now=self.now)
        self.done[host.id] += 1
        self.end_hand_off(request)
        if self.now <= request.deadline:
            self.worth += request.worth
        self.start_waiting(host)

    @property
    def imbalance(self):
        return max(self.done.values()) * len(self.hosts) / sum(self.done.values())

    @property
    def worth_share(self):
        return self.worth / self.offered
