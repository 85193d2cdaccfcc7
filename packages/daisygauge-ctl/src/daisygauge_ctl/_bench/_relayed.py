"""Measures the cost of relayed flows: the directory at target scale, and packets.

The experiment runs in this process and without sockets, so that the figures contain
only the work of the product itself.
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
ROUTES_PER_HOST = 3_700 / 6_500
"""3,700 addresses for 6,500 hosts, the target scale."""
HOSTS_PER_SERVICE = 10
CHANGE_COUNT = 5
FRAME_COUNT = 2_000
FLOW_COUNT = 500
CHANGES_PER_DAY = 920 + 3 * 550
"""920 configuration changes, and three entries for each of 550 replaced instances."""
SECONDS_PER_DAY = 86_400
TARGET_CPU_SHARE = 0.028
TARGET_MEMORY_MB = 128.0
TARGET_BYTES_PER_SECOND = 13_000.0
POLL_BYTES = 400
"""Length of a poll by a follower: two short messages and the headers of 4 packets."""
FOLLOWERS_PER_WATCHER = 28
"""7,600 daemons follow the 271 watchers ("seats") of 6,500 hosts."""
PACKET = bytes(131)


@frozen(kw_only=True)
class DirectoryCost:
    """Cost of the directory for a number of hosts.

    :param memory_mb: memory of the directory and its candidate lists in MiB.
    :param whole_bytes: length of the message with all entries to a peer.
    :param change_bytes: length of the message with one changed host to a peer.
    :param change_seconds: processor time to apply one changed host, including the
        update of the view and of the candidate lists.
    """

    hosts: int
    memory_mb: float
    whole_bytes: int
    change_bytes: int
    change_seconds: float


@frozen(kw_only=True)
class PacketCost:
    """Processor time of single steps for a packet, in seconds.

    :param carry: encoding and decoding the frame that forwards a packet of an open
        flow.
    :param opening: encoding and decoding the frame of an opening packet.
    :param order: ordering the hosts of a service for a new flow, before the
        order is cached.
    """

    carry: float
    opening: float
    order: float


def make_items(hosts: int) -> list[DirectoryItem]:
    """Return entries for some hosts, with services and routes as at target scale."""
    items = [make_host(number) for number in range(hosts)]
    routes = tuple(
        RouteRecord(
            name=f"route-{number}",
            host=f"198.18.{number // 250}.{number % 250}",
            port=443,
            shares=(ServiceShare(service=f"service-{number % hosts}"),),
        )
        for number in range(round(hosts * ROUTES_PER_HOST))
    )
    routing = RoutingRecord(version=1, routes=routes, idle_timeout_seconds=15.0)
    return [*items, DirectoryItem(key="config", revision=1, content=routing)]


def make_host(number: int, *, revision: int = 1) -> DirectoryItem:
    """Return the directory entry of one host."""
    record = HostRecord(
        id=f"host-{number:06d}",
        service=f"service-{number // HOSTS_PER_SERVICE}",
        address=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250}",
        port=8080,
        failure_domain="a",
        state=HostState.READY,
        slots=2,
        incarnation=revision,
    )
    return DirectoryItem(key=record.id, revision=revision, content=record)


def measure_directory(hosts: int) -> DirectoryCost:
    """Measure the directory for a number of hosts."""
    tracemalloc.start()
    directory = Directory()
    directory.replace(make_items(hosts), as_of=1, now=0.0)
    lists = CandidateLists()
    lists.update(directory.view)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    seconds = []
    for revision in range(2, 2 + CHANGE_COUNT):
        started_at = time.process_time()
        change = make_host(0, revision=revision)
        directory.apply([change], as_of=revision, now=0.0)
        lists.update(directory.view)
        seconds.append(time.process_time() - started_at)
    return DirectoryCost(
        hosts=hosts,
        memory_mb=memory / 2**20,
        whole_bytes=len(encode_items(directory.changes_after(0))),
        change_bytes=len(encode_items((change,))),
        change_seconds=median(seconds),
    )


def encode_items(items: tuple[DirectoryItem, ...]) -> bytes:
    """Return the message to a peer that contains the items."""
    return encode_message(
        PackedReply(as_of=1, age_seconds=0.0, is_complete=True, items=pack_items(items))
    )


def measure_packets() -> PacketCost:
    """Measure single steps of the packet path."""
    address, service = b"\x0a\x00\x00\x01", service_tag("service-0")
    forward = ForwardFrame(balancer=address, service=service, packet=PACKET)
    opening = OpenFrame(balancer=address, service=service, packet=PACKET)
    directory = Directory()
    directory.replace(make_items(HOSTS_PER_SERVICE), as_of=1, now=0.0)
    lists = CandidateLists()
    lists.update(directory.view)
    flows = [number.to_bytes(12, "big") for number in range(FLOW_COUNT)]
    return PacketCost(
        carry=measure_mean_time(
            lambda: decode_frame(encode_frame(forward)), FRAME_COUNT
        ),
        opening=measure_mean_time(
            lambda: decode_frame(encode_frame(opening)), FRAME_COUNT
        ),
        order=measure_mean_time(lambda: lists.order(service, flows.pop()), FLOW_COUNT),
    )


def measure_mean_time(step: Callable[[], object], count: int) -> float:
    """Return the mean processor time of a step in seconds."""
    started_at = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - started_at) / count


async def run_relayed(options: Options) -> Report:
    """Measure the directory at several sizes and compare the largest with targets."""
    directories = [measure_directory(hosts) for hosts in HOST_COUNTS]
    largest = directories[-1]
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    sent_bytes_per_second = POLL_BYTES + changes_per_second * largest.change_bytes
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
            measured=FOLLOWERS_PER_WATCHER * sent_bytes_per_second,
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
