"""Long flows spread over hosts of different speeds by utilization, not by chance."""

import heapq
import itertools
import math
import random
from collections import Counter

import pytest

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    RequestScheduler,
    ScheduledRequest,
    TakeOpening,
    Utilization,
    decide_opening,
)
from daisygauge_wire import round_utilization

SPEEDS = (0.6, 1.0, 1.6)
WORK = {"feed": (0.034, 580.0), "call": (0.044, 165.0)}
"""Mean work in seconds and requests a second on 48 hosts, by kind."""
TARGET, LIMIT, WAVE_SECONDS, WAVE_HEIGHT, SETTLED = 0.353, 1.764, 11.0, 0.55, 12.0
HOP_SECONDS, ROUND_TRIP = 0.0008, 0.002


class Host:
    def __init__(self, number, *, knows_flows=True):
        self.name, self.speed = bytes([10, 0, 0, number]), SPEEDS[number % 3]
        self.scheduler = RequestScheduler(slots=lambda: 1)
        self.use = Utilization(slots=lambda: 1, knows_flows=knows_flows, now=0.0)
        self.queue, self.busy, self.taken = [], 0.0, []


class Model:
    """The load of the module ``_utilization``, in simulated time.

    :ivar ended: requests by kind, tenth of the wave, and whether they were late.
    """

    def __init__(self, *, seed, by_utilization, flow_rate=0.8, opens=3.0, hosts=48):
        self.rng, self.now, self.events = random.Random(seed), 0.0, []
        self.numbers, self.by_utilization = itertools.count(), by_utilization
        self.hosts = [Host(number) for number in range(hosts)]
        self.ended, self.flows, self.began = Counter(), {}, {}
        for kind, (_, rate) in WORK.items():
            for _ in range(int(rate * hosts / 48 / flow_rate)):
                own = flow_rate * self.rng.uniform(0.7, 1.3)
                self.at(self.rng.uniform(0.0, opens), self.open, kind, own)

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.numbers), action, arguments))

    def run(self, seconds):
        while self.events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def open(self, kind, rate):
        order = self.rng.sample(self.hosts, len(self.hosts))
        names = [host.name for host in order]
        tried, best, final, host, hops = (), None, False, order[0], 0
        while True:
            host.taken = [at for at in host.taken if self.now - at < ROUND_TRIP]
            load = host.scheduler.load(now=self.now) + len(host.taken)
            use = host.use.estimate_after(kind, load=load, now=self.now)
            own = AskedAgent(
                agent=host.name, load=load, slots=1,
                utilization=round_utilization(use) if self.by_utilization else None,
            )  # fmt: skip
            decision = decide_opening(
                own=own, candidates=names, tried=tried, hops=hops, best=best,
                final=final,
            )  # fmt: skip
            if isinstance(decision, TakeOpening):
                break
            if best is None or own.is_less_used(best):
                best = BusyAgent(
                    agent=own.agent, load=load, utilization=own.utilization
                )
            tried, final, hops = decision.tried, decision.final, hops + 1
            host = order[names.index(decision.target)]
        flow = self.rng.randbytes(8)
        host.use.add_flow(flow, kind, now=self.now)
        host.taken.append(self.now)
        end = self.now + self.rng.uniform(20.0, 60.0)
        self.flows[flow] = (host, kind, rate, end)
        delay = ROUND_TRIP + hops * HOP_SECONDS
        self.at(self.now + delay, self.ask, flow, self.now)

    def ask(self, flow, began):
        host, kind, *_ = self.flows[flow]
        self.began[flow] = began
        host.use.record_request(flow, kind, now=self.now)
        request = ScheduledRequest(
            flow=flow, priority=int(kind == "feed"), target_at=began + TARGET,
            deadline_at=began + LIMIT,
        )  # fmt: skip
        self.apply(host, host.scheduler.submit(request, now=self.now))

    def apply(self, host, change):
        for flow in change.sent:
            running = host.scheduler.count_running(now=self.now)
            host.use.record_sent(flow, running=running, now=self.now)
            host.queue.append(flow)
            if len(host.queue) == 1:
                self.start(host)
        for flow in change.expired:
            self.end(flow, math.inf)

    def start(self, host):
        mean = WORK[self.flows[host.queue[0]][1]][0] / host.speed
        seconds = self.rng.lognormvariate(math.log(mean) - 0.125, 0.5)
        host.busy += seconds * (self.now >= SETTLED)
        self.at(self.now + seconds, self.answer, host)

    def answer(self, host):
        flow = host.queue.pop(0)
        if host.queue:
            self.start(host)
        host.use.record_done(flow, is_answered=True, now=self.now)
        self.end(flow, self.now)
        self.apply(host, host.scheduler.end(flow, now=self.now))

    def end(self, flow, at):
        host, kind, rate, end = self.flows[flow]
        began, then = self.began[flow], self.now
        if began >= SETTLED:
            tenth = int(began / WAVE_SECONDS % 1.0 * 10)
            self.ended[kind, tenth, at - began > TARGET] += 1
        is_asked = False
        while not is_asked:
            then += self.rng.expovariate(rate * (1.0 + WAVE_HEIGHT))
            wave = math.sin(2.0 * math.pi * then / WAVE_SECONDS)
            ceiling = self.rng.uniform(0.0, 1.0 + WAVE_HEIGHT)
            is_asked = ceiling < 1.0 + WAVE_HEIGHT * wave
        if then < end:
            self.at(then, self.ask, flow, then)
        else:
            self.at(max(end, self.now), self.close, flow)

    def close(self, flow):
        host, kind, rate, _ = self.flows.pop(flow)
        host.use.end_flow(flow, now=self.now)
        self.open(kind, rate)

    def late(self, kind, tenths=range(10)):
        late, timely = (
            sum(self.ended[kind, tenth, is_late] for tenth in tenths)
            for is_late in (True, False)
        )
        return late / (late + timely)

    def busiest(self):
        busy = [host.busy for host in self.hosts]
        return max(busy) * len(busy) / sum(busy)


@pytest.mark.parametrize("flow_rate", [0.4, 1.2])
def test_callers_get_more_than_by_load_at_a_moment(flow_rate):
    """Guards against flows that saturate slow hosts while fast ones are idle."""
    before, after = (
        Model(seed=1, by_utilization=by, flow_rate=flow_rate).run(60.0)
        for by in (False, True)
    )

    assert after.late("feed") < 0.7 * before.late("feed")
    assert after.late("feed", range(1, 4)) < 0.7 * before.late("feed", range(1, 4))
    assert after.late("feed", range(6, 9)) < 0.002
    assert after.late("call") <= before.late("call")
    assert after.busiest() < 1.2 < before.busiest()


def test_flows_that_open_together_are_spread_by_speed():
    """Guards against a herd that is dealt before any rate is known."""
    model = Model(seed=1, by_utilization=True, flow_rate=1.2, opens=1.0).run(1.1)
    counts = [0, 0, 0]
    for host in model.hosts:
        counts[SPEEDS.index(host.speed)] += len(host.use.open_flows)

    assert counts[0] < 0.7 * counts[1] and counts[2] > 1.15 * counts[1]


def test_a_restarted_agent_draws_no_herd():
    """Guards against an agent that seems idle because it knows no flow yet."""
    model = Model(seed=1, by_utilization=True).run(20.0)
    host = model.hosts[1]
    host.use = Utilization(slots=lambda: 1, knows_flows=False, now=model.now)
    before = sum(owner is host for owner, *_ in model.flows.values())
    most = 0
    for second in range(21, 40):
        model.run(float(second))
        most = max(most, sum(owner is host for owner, *_ in model.flows.values()))

    assert most <= 1.4 * before


@pytest.fixture
def use():
    return Utilization(slots=lambda: 1, knows_flows=True, now=0.0)


def run_flow(use, flow, *, kind="feed", at, requests=1, seconds=0.1):
    use.add_flow(flow, kind, now=at)
    for number in range(requests):
        use.record_request(flow, kind, now=at + number)
        use.record_sent(flow, running=1, now=at + number)
        use.record_done(flow, is_answered=True, now=at + number + seconds)


def test_a_request_that_waits_at_the_upstream_is_not_in_service(use):
    """Its wait would make a fast but busy upstream look slow."""
    for flow in (b"a", b"b"):
        use.record_request(flow, "feed", now=0.0)
    use.record_sent(b"a", running=1, now=0.0)
    use.record_sent(b"b", running=2, now=0.0)
    use.record_done(b"a", is_answered=True, now=0.1)
    use.record_done(b"b", is_answered=True, now=0.2)

    assert use.kinds["feed"].service_seconds == pytest.approx(0.2, abs=0.001)


def test_measures_from_before_a_freeze_are_dropped(use):
    """Guards against placement by a load that is gone."""
    run_flow(use, b"a", at=0.0, requests=40, seconds=0.9)
    use.tick(now=40.0)
    use.tick(now=45.0)

    assert use.service_seconds("feed") == pytest.approx(0.05)
    assert use.estimate(now=45.0) > 0.5


def test_old_values_age_out(use):
    """Guards against an upstream that was slow once and is avoided for good."""
    run_flow(use, b"a", at=0.0, requests=40, seconds=0.9)
    use.end_flow(b"a", now=41.0)

    assert use.service_seconds("feed") > 0.8
    assert use.estimate(now=300.0) == 0.0
    assert use.service_seconds("feed") == pytest.approx(0.05, abs=0.01)


def test_flows_of_an_earlier_incarnation_do_not_count(use):
    """Guards against a restarted upstream that stays idle for its lost flows."""
    use.observe_incarnation(1, now=0.0)
    run_flow(use, b"a", at=0.0, requests=10)
    use.observe_incarnation(2, now=10.0)
    use.end_flow(b"a", now=11.0)

    assert use.estimate(now=11.0) == 0.0


def test_short_flows_and_several_slots_go_by_the_load(use):
    """Comparing eight agents would delay them and gain little."""
    for number in range(4):
        run_flow(use, b"%d" % number, kind="download", at=number)
        use.end_flow(b"%d" % number, now=number + 0.5)
    many = Utilization(slots=lambda: 2, knows_flows=True, now=0.0)

    assert use.estimate_after("download", load=0, now=5.0) is None
    assert use.estimate_after("feed", load=0, now=5.0) is not None
    assert many.estimate_after("feed", load=0, now=5.0) is None
