"""Sends a load and records the outcome of every request."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Collection, Sequence

from attrs import define, field, frozen

from ..caller import Answered, Caller, Client, Outcome, Request, Target
from ._arrivals import Arrival

MAX_CONCURRENT_HANDSHAKES = 16
MAX_ATTEMPTS_PER_FLOW = 50
PROBE_PATH = "/run?work_ms=0&size=1"
HTTP_OK = 200


@frozen(kw_only=True)
class Sample:
    """A request that was sent and its outcome.

    :param latency_seconds: time from the planned arrival to the outcome, so that a
        late sender does not hide latency (coordinated omission).
    :param lateness_seconds: time from the planned arrival to the sending.
    """

    arrival: Arrival
    request_id: str
    outcome: Outcome
    latency_seconds: float
    lateness_seconds: float

    @property
    def answered_whole(self) -> bool:
        """Whether the answer arrived completely, with status 200 and no defect."""
        match self.outcome:
            case Answered(status=status, defects=defects):
                return status == HTTP_OK and not defects
        return False

    @property
    def in_time(self) -> bool:
        """Whether ``answered_whole`` holds and the answer met its deadline."""
        deadline = self.arrival.kind.deadline_seconds
        return self.answered_whole and self.latency_seconds <= deadline

    @property
    def upstream(self) -> str | None:
        """Id of the host that answered the request, None without an answer."""
        match self.outcome:
            case Answered(headers=headers):
                return headers.get("x-upstream")
        return None


@define(kw_only=True)
class LoadResult:
    """All samples of a load.

    :param started: Unix time of the start of the load in seconds.
    :param lost: reasons of connections that ended without a preceding GOAWAY.
    """

    started: float
    samples: list[Sample] = field(factory=list)
    lost: list[str] = field(factory=list)


def make_request(arrival: Arrival) -> Request:
    """Return the request that is sent for an arrival."""
    kind = arrival.kind
    work_ms = arrival.work_seconds * 1_000
    return Request(
        path=f"/run?work_ms={work_ms:.3f}&size={kind.size}",
        method=kind.method,
        idempotency_key=uuid.uuid4().hex if kind.keyed else None,
        deadline_seconds=kind.deadline_seconds,
    )


async def open_flow(
    target: Target, *, client: Client, hosts: Collection[str]
) -> Caller:
    """Open a connection; reconnect until it is on one of the given hosts.

    :param hosts: ids of acceptable hosts, empty for any host.
    :raises ConnectionError: no attempt reached one of the hosts.
    """
    for _ in range(MAX_ATTEMPTS_PER_FLOW):
        caller = Caller(target, client=client)
        connection = await caller.connect()
        await caller.request(Request(path=PROBE_PATH))
        host = (connection.exchanges.host or "").split(";")[0]
        if not hosts or host in hosts:
            return caller
        await caller.close()
    raise ConnectionError(
        f"no connection reached {sorted(hosts)}; check that they accept new flows"
    )


async def open_callers(
    target: Target,
    *,
    count: int,
    client: Client = Client.QH3,
    hosts: Collection[str] = (),
) -> list[Caller]:
    """Open the connections of a load.

    :param count: number of connections.
    :param hosts: ids of acceptable hosts, empty for any host.
    """
    opening = asyncio.Semaphore(MAX_CONCURRENT_HANDSHAKES)

    async def open_one() -> Caller:
        async with opening:
            return await open_flow(target, client=client, hosts=hosts)

    return await asyncio.gather(*(open_one() for _ in range(count)))


async def run_load(
    arrivals: Sequence[Arrival], *, callers: Sequence[Caller]
) -> LoadResult:
    """Send every arrival at its planned time and wait for all outcomes.

    :param callers: callers by flow number, modulo the number of callers.
    """
    result = LoadResult(started=time.time())
    started = time.monotonic()

    async def send(arrival: Arrival) -> None:
        request = make_request(arrival)
        planned = started + arrival.at_seconds
        lateness = time.monotonic() - planned
        outcome = await callers[arrival.flow % len(callers)].request(request)
        result.samples.append(
            Sample(
                arrival=arrival,
                request_id=request.request_id,
                outcome=outcome,
                latency_seconds=time.monotonic() - planned,
                lateness_seconds=lateness,
            )
        )

    async with asyncio.TaskGroup() as group:
        for arrival in arrivals:
            await asyncio.sleep(
                max(0.0, started + arrival.at_seconds - time.monotonic())
            )
            group.create_task(send(arrival))
    result.lost = [reason for caller in callers for reason in caller.lost]
    return result
