"""Reader of a platform with the HTTP interface of Consul (blocking queries)."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import orjson

from daisygauge_records import Endpoint, Instance, Role

from ._errors import PlatformUnavailableError
from ._platform import (
    NO_INDEX,
    InstancesSnapshot,
    PublishedRecord,
    RecordsSnapshot,
)

RECORDS_PATH = "/v1/kv/records"
KEYS_PATH = "/v1/kv/records/key"
INSTANCES_PATH = "/v1/health/service/daisygauge"
INDEX_HEADER = "X-Consul-Index"
WAIT_SECONDS = 30
ANSWER_SECONDS = 5
HTTP_OK = 200
HTTP_NOT_FOUND = 404

Query = dict[str, str]
Entries = list[dict[str, Any]]


class ConsulReader:
    """Reads records and instances from the first server that answers.

    :param addresses: base addresses, such as ``http://10.0.0.5:8500``.
    :ivar reads: number of calls; a call that waits counts once.
    :ivar bytes_read: total size of the answers in bytes.
    """

    def __init__(
        self, *, addresses: Sequence[str], wait_seconds: int = WAIT_SECONDS
    ) -> None:
        if not addresses:
            raise ValueError("no platform address; name one in the setting 'platform'")
        self.addresses = tuple(address.rstrip("/") for address in addresses)
        self.wait_seconds = wait_seconds
        self.reads = 0
        self.bytes_read = 0
        self._preferred = 0
        self._session: aiohttp.ClientSession | None = None

    async def read_records(self, *, after: int) -> RecordsSnapshot:
        """Read all records, after waiting for an index other than ``after``."""
        return await self._read_prefix(RECORDS_PATH, after)

    async def read_keys(self) -> RecordsSnapshot:
        """Read only the key records, without waiting."""
        return await self._read_prefix(KEYS_PATH, NO_INDEX)

    async def _read_prefix(self, path: str, after: int) -> RecordsSnapshot:
        index, entries = await self._get(path, {"recurse": "true"}, after)
        records = tuple(_read_entry(entry) for entry in entries)
        return RecordsSnapshot(index=index, records=records)

    async def read_instances(self, *, after: int) -> InstancesSnapshot:
        """Read the instance list, after waiting for an index other than ``after``."""
        index, entries = await self._get(INSTANCES_PATH, {}, after)
        read = [_read_instance(entry) for entry in entries]
        instances = tuple(instance for instance in read if instance is not None)
        return InstancesSnapshot(
            index=index, instances=instances, skipped=len(read) - len(instances)
        )

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _get(self, path: str, query: Query, after: int) -> tuple[int, Entries]:
        address = self.addresses[self._preferred % len(self.addresses)]
        if after > NO_INDEX:
            query = {**query, "index": str(after), "wait": f"{self.wait_seconds}s"}
        self.reads += 1
        try:
            return await self._fetch(address + path, query)
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            self._preferred += 1
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(address=address, reason=reason) from error

    async def _fetch(self, url: str, query: Query) -> tuple[int, Entries]:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        seconds = self.wait_seconds + ANSWER_SECONDS if "index" in query else None
        timeout = aiohttp.ClientTimeout(total=seconds or ANSWER_SECONDS)
        async with self._session.get(url, params=query, timeout=timeout) as answer:
            body = await answer.read()
            self.bytes_read += len(body)
            if answer.status not in (HTTP_OK, HTTP_NOT_FOUND):
                raise ValueError(f"status {answer.status}")
            index = int(answer.headers.get(INDEX_HEADER, ""))
            if answer.status == HTTP_NOT_FOUND:
                return index, []
            return index, _read_list(body)


def _read_list(body: bytes) -> Entries:
    entries = orjson.loads(body)
    if not isinstance(entries, list):
        raise ValueError("the answer is not a list")
    if not all(isinstance(entry, dict) for entry in entries):
        raise ValueError("the answer is not a list of objects")
    return entries


def _read_entry(entry: dict[str, Any]) -> PublishedRecord:
    """Decode one entry.

    A value that is not base64 becomes an empty document, which is refused later.
    """
    try:
        document = base64.b64decode(entry.get("Value") or "", validate=True)
    except (TypeError, ValueError):
        document = b""
    return PublishedRecord(name=str(entry.get("Key")), document=document)


def _read_instance(entry: dict[str, Any]) -> Instance | None:
    """Return the instance of an entry, or None if the entry is malformed.

    The instance list is only a hint, so malformed entries are skipped.
    """
    try:
        node, service = entry["Node"], entry["Service"]
        meta = service["Meta"]
        return Instance(
            id=str(service["ID"]),
            role=Role(service["Tags"][0]),
            inner=Endpoint(host=str(service["Address"]), port=int(service["Port"])),
            peer_port=int(meta["peer_port"]),
            region=str(node["Datacenter"]),
            failure_domain=str(meta["failure_domain"]),
            leaving=meta.get("leaving") == "true",
        )
    except (TypeError, KeyError, IndexError, ValueError, AttributeError):
        return None
