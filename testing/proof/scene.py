"""One scenario's fleet with its callers, feeds and load."""

import asyncio
import time

from attrs import define, field

from daisygauge_emulator._accounting import Record, reconcile
from daisygauge_emulator._workload import ServiceWorkload
from daisygauge_emulator.caller import Caller, Client, Feed, Request
from daisygauge_emulator.fleet import KUISEB, AddressPlan, Fleet, FleetOptions

FEED_PATH = "/feed?interval_ms=100&size=64"
POLL_SECONDS = 0.05


@define(kw_only=True, eq=False)
class OpenFeed:
    service: str
    caller: Caller
    feed: Feed
    task: asyncio.Task


@define(kw_only=True, eq=False)
class Scene:
    """What the steps of a scenario share.

    :param number: tells the address blocks of successive fleets apart.
    """

    number: int
    fleet: Fleet | None = None
    feeds: list[OpenFeed] = field(factory=list)
    workloads: list[ServiceWorkload] = field(factory=list)
    load: list[asyncio.Task] = field(factory=list)
    records: list[Record] = field(factory=list)
    callers: list[Caller] = field(factory=list)
    pending: dict[str, asyncio.Task] = field(factory=dict)
    outcomes: dict[str, Record] = field(factory=dict)
    exit_codes: list[int] = field(factory=list)
    marks: dict[str, float] = field(factory=dict)
    frozen: list = field(factory=list)
    named_callers: dict[str, Caller] = field(factory=dict)
    named_hosts: dict = field(factory=dict)
    highest_revisions: dict[str, float] = field(factory=dict)
    gone_runs: list = field(factory=list)
    revisions: dict[str, dict[str, float]] = field(factory=dict)

    async def start_fleet(self, *, hosts, balancers=3, **options):
        deployment = KUISEB.resized(hosts=hosts, balancers=balancers)
        self.fleet = Fleet(
            deployment,
            addresses=AddressPlan.for_this_process(number=self.number),
            options=FleetOptions(**options),
        )
        await self.fleet.start()

    async def open_feed(self, service):
        caller = Caller(self.fleet.target(service))
        feed = Feed(caller, path=FEED_PATH)
        task = asyncio.create_task(feed.run())
        self.feeds.append(
            OpenFeed(service=service, caller=caller, feed=feed, task=task)
        )
        await self.until(lambda: feed.report.events > 0, seconds=10)

    async def start_load(self, *, callers):
        for number, service in enumerate(self.fleet.services):
            workload = ServiceWorkload.create(
                self.fleet.target(service),
                callers=callers,
                seed=number,
                clients=[Client.AIOQUIC],
            )
            self.workloads.append(workload)
            self.load.append(asyncio.create_task(workload.run()))

    async def stop_load(self):
        for workload in self.workloads:
            workload.stopping.set()
        await asyncio.gather(*self.load)
        self.load.clear()

    async def call(self, service, request, *, name=None):
        """Send one request on a connection of its own and record its outcome."""
        caller = Caller(self.fleet.target(service))
        self.callers.append(caller)
        if name is not None:
            self.named_callers[name] = caller
        return await self.call_with(caller, request)

    async def call_with(self, caller, request):
        started = time.time()
        outcome = await caller.request(request)
        record = Record(
            service=caller.target.service,
            request=request,
            outcome=outcome,
            started=started,
            ended=time.time(),
        )
        self.records.append(record)
        return record

    def begin(self, name, service, **fields):
        """Send a request whose outcome a later step looks at."""
        request = Request(**fields)
        self.pending[name] = asyncio.create_task(self.call(service, request, name=name))

    def host_named(self, name):
        """Return what the answer of a named request says of its host, or None."""
        caller = self.named_callers.get(name)
        connections = caller.connections if caller is not None else []
        return connections[0].exchanges.host if connections else None

    def host_of(self, name):
        """Return the host that a named request went to."""
        if name not in self.named_hosts:
            id = self.host_named(name).split(";")[0]
            self.named_hosts[name] = self.fleet.hosts[id]
        return self.named_hosts[name]

    async def outcome(self, name):
        if name not in self.outcomes:
            self.outcomes[name] = await self.pending[name]
        return self.outcomes[name].outcome

    @property
    def all_records(self):
        loaded = [r for workload in self.workloads for r in workload.records]
        return [*self.records, *loaded]

    @property
    def reports(self):
        """Reports of all feeds, those of the load included."""
        loaded = [workload.feed.report for workload in self.workloads]
        return [*(feed.feed.report for feed in self.feeds), *loaded]

    def runs(self):
        """Runs of all upstreams, stopped ones included."""
        hosts = self.fleet.hosts.values()
        present = [run for host in hosts for run in self.fleet.ledger(host)]
        return [*self.gone_runs, *present]

    def account(self):
        return reconcile(self.all_records, self.runs())

    async def until(self, condition, *, seconds):
        """Wait for a condition; tell whether it came true in time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def close(self):
        for process in self.frozen:
            process.resume()
        tasks = [*self.load, *self.pending.values(), *(f.task for f in self.feeds)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        callers = [*self.callers, *(feed.caller for feed in self.feeds)]
        await asyncio.gather(*(caller.close() for caller in callers))
        await asyncio.gather(*(workload.close() for workload in self.workloads))
        if self.fleet is not None:
            await self.fleet.stop()
