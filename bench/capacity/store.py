"""Measurement of memory and processor time of one daemon's configuration state."""

from __future__ import annotations

import gc
import json
import multiprocessing
import time

import psutil
from attrs import frozen

from daisygauge_control import ConfigurationState, PublishedRecord
from daisygauge_records import Endpoint, Instance, Role

UPSTREAMS_PER_SERVICE = 2


@frozen(kw_only=True)
class StoreCost:
    """Cost of configuration state with a number of entries.

    :param entries: number of upstreams.
    :param resident_bytes: resident memory that the state adds to the process.
    :param load_seconds: processor time to apply all records and instances.
    :param change_seconds: processor time to apply one changed record.
    """

    entries: int
    resident_bytes: int
    load_seconds: float
    change_seconds: float


def make_record(kind: str, id: str, spec: dict, revision: int = 1) -> PublishedRecord:
    """Build a record as the platform stores it."""
    record = {"kind": kind, "id": id, "schema_version": 2, "revision": revision}
    document = json.dumps({**record, "spec": spec}).encode()
    return PublishedRecord(name=f"records/{kind}/{id}", document=document)


def make_address(number: int) -> str:
    """Return the IPv4 address in 10.0.0.0/8 with a number."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"


def make_upstream(number: int, *, slots: int = 2, revision: int = 1) -> PublishedRecord:
    """Build the record of one upstream."""
    spec = {
        "service": f"service-{number // UPSTREAMS_PER_SERVICE}",
        "agent": {"host": make_address(number), "port": 7000},
        "peer_port": 7001,
        "failure_domain": f"domain-{number % 17}",
        "slots": slots,
    }
    return make_record("upstream", f"u{number:05}", spec, revision)


def make_records(upstreams: int) -> list[PublishedRecord]:
    """Build the records of upstreams and their services."""
    services = [
        make_record(
            "service",
            f"service-{number}",
            {"number": number + 1, "address": {"host": "10.0.0.1", "port": number + 1}},
        )
        for number in range(upstreams // UPSTREAMS_PER_SERVICE)
    ]
    return [*services, *(make_upstream(number) for number in range(upstreams))]


def make_instances(count: int) -> list[Instance]:
    """Build an instance list of agents."""
    return [
        Instance(
            id=f"u{number:05}",
            role=Role.AGENT,
            inner=Endpoint(host=make_address(number), port=7000),
            peer_port=7001,
            region=f"region-{number % 5}",
            failure_domain=f"domain-{number % 17}",
        )
        for number in range(count)
    ]


def _measure(upstreams: int, queue: multiprocessing.Queue) -> None:
    process = psutil.Process()
    state = ConfigurationState()
    gc.collect()
    before = process.memory_info().rss
    started = time.process_time()
    state.apply_records(make_records(upstreams))
    state.apply_instances(make_instances(upstreams))
    loaded = time.process_time() - started
    gc.collect()
    resident = process.memory_info().rss - before
    started = time.process_time()
    changes = 20
    for number in range(changes):
        changed = make_upstream(number, slots=3, revision=2)
        state.apply_documents([changed.document])
    queue.put(
        StoreCost(
            entries=upstreams,
            resident_bytes=resident,
            load_seconds=loaded,
            change_seconds=(time.process_time() - started) / changes,
        )
    )


def measure_store(upstreams: int) -> StoreCost:
    """Measure the cost of one size in a new process."""
    context = multiprocessing.get_context("spawn")
    queue = context.Queue()
    worker = context.Process(target=_measure, args=(upstreams, queue))
    worker.start()
    cost = queue.get(timeout=120)
    worker.join()
    return cost
