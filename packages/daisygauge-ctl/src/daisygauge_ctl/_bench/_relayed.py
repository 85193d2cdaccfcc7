"""What relayed flows cost: the directory at the aim's size, and single packets.

Runs inside this process, without sockets: what is measured is our own work.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from statistics import median

from attrs import frozen

from daisygauge_control import (
    Directory,
    DirectoryItem,
    HostRecord,
    HostState,
    RouteRecord,
    RoutingRecord,
    ServiceShare,
)
from daisygauge_control._directory_messages import (
    PackedReply,
    encode_message,
    pack_items,
)
from daisygauge_relay._candidates import CandidateLists, service_tag
from daisygauge_wire import ForwardFrame, OpenFrame, decode_frame, encode_frame

from ._experiment import Experiment, Options, Report, Target

HOST_COUNTS = (65, 650, 6_500)
ROUTES_FOR_HOSTS = 3_700 / 6_500
"""Addresses for each host at the aim."""
HOSTS_FOR_SERVICE = 10
REPEATS = 5
FRAMES = 2_000
FLOWS = 500
CHANGES_PER_DAY = 920 + 3 * 550
"""Changes of configuration, and three entries for each replaced instance."""
SECONDS_PER_DAY = 86_400
TARGET_CPU_SHARE = 0.028
TARGET_MEMORY_MB = 128.0
TARGET_BYTES_PER_SECOND = 13_000.0
POLL_BYTES = 400
"""One poll of a follower: two short messages and the headers of four packets."""
FOLLOWERS_OF_A_SEAT = 28
"""7,600 daemons over the 271 seats of 6,500 hosts."""
PACKET = bytes(131)


@frozen(kw_only=True)
class DirectoryCost:
    """Costs of the directory at one size.

    :param whole_bytes: everything, as a peer is told it.
    :param change_seconds: processor time of one changed host, view included.
    """

    hosts: int
    memory_mb: float
    whole_bytes: int
    change_bytes: int
    change_seconds: float


@frozen(kw_only=True)
class PacketCost:
    """Processor time of single steps, in seconds.

    :param carry: encoding and decoding the frame of a packet of an open flow.
    :param order: ordering the hosts of a service for a new flow, the first time.
    """

    carry: float
    opening: float
    order: float


def make_items(hosts: int) -> list[DirectoryItem]:
    """Return a directory of some hosts, with services and routes as at the aim."""
    items = [make_host(number) for number in range(hosts)]
    routes = tuple(
        RouteRecord(
            name=f"route-{number}",
            host=f"198.18.{number // 250}.{number % 250}",
            port=443,
            shares=(ServiceShare(service=f"service-{number % hosts}"),),
        )
        for number in range(round(hosts * ROUTES_FOR_HOSTS))
    )
    routing = RoutingRecord(version=1, routes=routes, idle_timeout_seconds=15.0)
    return [*items, DirectoryItem(key="config", revision=1, content=routing)]


def make_host(number: int, *, revision: int = 1) -> DirectoryItem:
    """Return the entry of one host."""
    record = HostRecord(
        id=f"host-{number:06d}",
        service=f"service-{number // HOSTS_FOR_SERVICE}",
        address=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}",
        port=8080,
        failure_domain="a",
        state=HostState.READY,
        slots=2,
        incarnation=revision,
    )
    return DirectoryItem(key=record.id, revision=revision, content=record)


def measure_directory(hosts: int) -> DirectoryCost:
    """Measure the directory at one size."""
    tracemalloc.start()
    directory = Directory()
    directory.replace(make_items(hosts), as_of=1, now=0.0)
    lists = CandidateLists()
    lists.update(directory.view)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    seconds = []
    for revision in range(2, 2 + REPEATS):
        began = time.process_time()
        change = make_host(0, revision=revision)
        directory.apply([change], as_of=revision, now=0.0)
        lists.update(directory.view)
        seconds.append(time.process_time() - began)
    return DirectoryCost(
        hosts=hosts,
        memory_mb=memory / 2**20,
        whole_bytes=len(encode_items(directory.changes_after(0))),
        change_bytes=len(encode_items((change,))),
        change_seconds=median(seconds),
    )


def encode_items(items: tuple[DirectoryItem, ...]) -> bytes:
    """Return items as a peer is told them."""
    return encode_message(
        PackedReply(as_of=1, age_seconds=0.0, is_complete=True, items=pack_items(items))
    )


def measure_packets() -> PacketCost:
    """Measure single steps of the packet path."""
    address, service = b"\x0a\x00\x00\x01", service_tag("service-0")
    forward = ForwardFrame(balancer=address, service=service, packet=PACKET)
    opening = OpenFrame(balancer=address, service=service, packet=PACKET)
    directory = Directory()
    directory.replace(make_items(HOSTS_FOR_SERVICE), as_of=1, now=0.0)
    lists = CandidateLists()
    lists.update(directory.view)
    flows = [number.to_bytes(12, "big") for number in range(FLOWS)]
    return PacketCost(
        carry=time_each(lambda: decode_frame(encode_frame(forward)), FRAMES),
        opening=time_each(lambda: decode_frame(encode_frame(opening)), FRAMES),
        order=time_each(lambda: lists.order(service, flows.pop()), FLOWS),
    )


def time_each(step: Callable[[], object], count: int) -> float:
    """Return the mean processor time of a step."""
    began = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - began) / count


async def run_relayed(options: Options) -> Report:
    """Measure slopes, and work out the aim from the largest size."""
    directories = [measure_directory(hosts) for hosts in HOST_COUNTS]
    largest = directories[-1]
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    told = POLL_BYTES + changes_per_second * largest.change_bytes
    targets = (
        Target(
            name="directory of 6,500 hosts, memory",
            measured=largest.memory_mb,
            comparison="<=",
            target=TARGET_MEMORY_MB,
            unit=" MB",
        ),
        Target(
            name="changes of a day at that size, share of a core",
            measured=changes_per_second * largest.change_seconds,
            comparison="<=",
            target=TARGET_CPU_SHARE,
        ),
        Target(
            name="a seat tells its followers",
            measured=FOLLOWERS_OF_A_SEAT * told,
            comparison="<=",
            target=TARGET_BYTES_PER_SECOND,
            unit=" B/s",
        ),
    )
    return Report(
        experiment="relayed",
        options=options,
        targets=targets,
        figures={"directories": directories, "packets": measure_packets()},
    )


RELAYED = Experiment(
    name="relayed",
    summary="the directory of relayed flows at the aim's size, and single packets",
    run=run_relayed,
)
