"""Test data and a fake platform for the control tests."""

import asyncio
import json

from daisygauge_control import (
    InstancesSnapshot,
    PlatformUnavailableError,
    PublishedRecord,
    RecordsSnapshot,
)
from daisygauge_records import Endpoint, Instance, Role

SECRET = "5a" * 32


def make_document(kind, id, spec, *, revision=1, deleted=False):
    return json.dumps(
        {
            "kind": kind,
            "id": id,
            "schema_version": 2,
            "revision": revision,
            "deleted": deleted,
            "spec": spec,
        }
    ).encode()


def make_entry(kind, id, spec, **changes):
    document = make_document(kind, id, spec, **changes)
    return PublishedRecord(name=f"records/{kind}/{id}", document=document)


def make_service(id="order-desk", *, number=1, host="10.0.0.1", **changes):
    spec = {"number": number, "address": {"host": host, "port": 443}}
    return make_entry("service", id, spec, **changes)


def make_upstream(id="u1", *, service="order-desk", slots=2, **changes):
    spec = {
        "service": service,
        "agent": {"host": "10.0.1.1", "port": 7000},
        "peer_port": 7001,
        "failure_domain": "erongo-1",
        "slots": slots,
    }
    return make_entry("upstream", id, spec, **changes)


def make_key(id="k1", *, number=1, secret=SECRET, not_before=0, **changes):
    spec = {"number": number, "secret": secret, "not_before": not_before}
    return make_entry("key", id, spec, **changes)


def make_instance(id="b1", *, role=Role.BALANCER, failure_domain="erongo-1", **changes):
    return Instance(
        id=id,
        role=role,
        inner=Endpoint(host="10.0.2.1", port=7000),
        peer_port=7001,
        region="erongo",
        failure_domain=failure_domain,
        **changes,
    )


class FakePlatform:
    """An in-memory platform that implements ``PlatformReader``."""

    def __init__(self):
        self.index = 1
        self.records = {}
        self.instances = {}
        self.down = False
        self.closed = False
        self.reads = []
        self._changed = asyncio.Event()

    def publish(self, *entries):
        self.records.update({entry.name: entry for entry in entries})
        self._advance()

    def set_instances(self, *instances):
        self.instances = {instance.id: instance for instance in instances}
        self._advance()

    def fail(self, down=True):
        self.down = down
        self._wake()

    def freeze(self):
        self.stale = (self.index, dict(self.records), dict(self.instances))

    def thaw(self):
        self.stale = None
        self._wake()

    def restart(self):
        self.index = 0
        self._advance()

    async def read_records(self, *, after):
        await self._wait(after)
        return RecordsSnapshot(index=self.index, records=tuple(self.records.values()))

    async def read_keys(self):
        await self._wait(0)
        keys = (e for e in self.records.values() if e.name.startswith("records/key/"))
        return RecordsSnapshot(index=self.index, records=tuple(keys))

    async def read_instances(self, *, after):
        await self._wait(after)
        instances = tuple(self.instances.values())
        return InstancesSnapshot(index=self.index, instances=instances)

    async def close(self):
        self.closed = True

    async def _wait(self, after):
        self.reads.append(after)
        while not self.down and self.index == after:
            await self._changed.wait()
        if self.down:
            raise PlatformUnavailableError(address="fake", reason="down")

    def _advance(self):
        self.index += 1
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()
