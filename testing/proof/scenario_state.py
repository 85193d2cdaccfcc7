"""State of a scenario: its fleet, callers, feeds and load."""

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
class ScenarioState:
    """State that the steps of a scenario share.

    :param number: scenario number, which selects the address block of its fleet.
    """

    number: int
    fleet: Fleet | None = None
    feeds: list[OpenFeed] = field(factory=list)
    workloads: list[ServiceWorkload] = field(factory=list)
    load_tasks: list[asyncio.Task] = field(factory=list)
    records: list[Record] = field(factory=list)
    callers: list[Caller] = field(factory=list)
    pending_requests: dict[str, asyncio.Task] = field(factory=dict)
    outcomes: dict[str, Record] = field(factory=dict)
    exit_codes: list[int] = field(factory=list)
    marks: dict[str, float] = field(factory=dict)
    suspended_processes: list = field(factory=list)
    callers_by_request: dict[str, Caller] = field(factory=dict)
    hosts_by_request: dict = field(factory=dict)
    highest_revisions: dict[str, float] = field(factory=dict)
    runs_of_stopped_hosts: list = field(factory=list)
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
        await self.wait_until(lambda: feed.report.events > 0, seconds=10)

    async def start_load(self, *, callers):
        for number, service in enumerate(self.fleet.services):
            workload = ServiceWorkload.create(
                self.fleet.target(service),
                callers=callers,
                seed=number,
                clients=[Client.AIOQUIC],
            )
            self.workloads.append(workload)
            self.load_tasks.append(asyncio.create_task(workload.run()))

    async def stop_load(self):
        for workload in self.workloads:
            workload.stopping.set()
        await asyncio.gather(*self.load_tasks)
        self.load_tasks.clear()

    async def call(self, service, request, *, name=None):
        """Send one request on a connection of its own and record its outcome."""
        caller = Caller(self.fleet.target(service))
        self.callers.append(caller)
        if name is not None:
            self.callers_by_request[name] = caller
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

    def start_request(self, name, service, **fields):
        """Start a request whose outcome a later step checks."""
        request = Request(**fields)
        self.pending_requests[name] = asyncio.create_task(
            self.call(service, request, name=name)
        )

    def get_host_header(self, name):
        """Return the host header of a named request's answer, or None without one."""
        caller = self.callers_by_request.get(name)
        connections = caller.connections if caller is not None else []
        return connections[0].exchanges.host if connections else None

    def get_host_of_request(self, name):
        """Return the host that received a named request."""
        if name not in self.hosts_by_request:
            id = self.get_host_header(name).split(";")[0]
            self.hosts_by_request[name] = self.fleet.hosts[id]
        return self.hosts_by_request[name]

    async def wait_for_outcome(self, name):
        if name not in self.outcomes:
            self.outcomes[name] = await self.pending_requests[name]
        return self.outcomes[name].outcome

    @property
    def all_records(self):
        loaded = [r for workload in self.workloads for r in workload.records]
        return [*self.records, *loaded]

    @property
    def reports(self):
        """Reports of all feeds, including those of the load."""
        loaded = [workload.feed.report for workload in self.workloads]
        return [*(feed.feed.report for feed in self.feeds), *loaded]

    def all_runs(self):
        """Return the runs of all upstreams, including stopped ones."""
        hosts = self.fleet.hosts.values()
        present = [run for host in hosts for run in self.fleet.ledger(host)]
        return [*self.runs_of_stopped_hosts, *present]

    def reconcile_requests(self):
        return reconcile(self.all_records, self.all_runs())

    async def wait_until(self, condition, *, seconds):
        """Wait for a condition and return True if it was met in time."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(POLL_SECONDS)
        return True

    async def close(self):
        for process in self.suspended_processes:
            process.resume()
        tasks = [
            *self.load_tasks,
            *self.pending_requests.values(),
            *(f.task for f in self.feeds),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        callers = [*self.callers, *(feed.caller for feed in self.feeds)]
        await asyncio.gather(*(caller.close() for caller in callers))
        await asyncio.gather(*(workload.close() for workload in self.workloads))
        if self.fleet is not None:
            await self.fleet.stop()
