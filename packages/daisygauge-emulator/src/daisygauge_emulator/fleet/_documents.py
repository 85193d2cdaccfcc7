"""Records, instance entries and settings files of a fleet."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import Any

from attrs import asdict

from daisygauge_records import Endpoint

from ._certificates import Certificates
from ._deployment import (
    INNER_PORT,
    METRICS_PORT,
    PEER_PORT,
    UPSTREAM_PORT,
    ServicePlan,
)

SCHEMA_VERSION = 2
Document = dict[str, Any]


def record(*, kind: str, id: str, revision: int, spec: Document) -> Document:
    """Return a record in the format that operators publish."""
    return {
        "kind": kind,
        "id": id,
        "schema_version": SCHEMA_VERSION,
        "revision": revision,
        "deleted": False,
        "spec": spec,
    }


def key_record(*, number: int = 1, revision: int = 1) -> Document:
    """Return a record with a new random key."""
    spec = {"number": number, "secret": secrets.token_hex(32)}
    return record(kind="key", id=f"key-{number}", revision=revision, spec=spec)


def service_record(
    plan: ServicePlan, *, address: Endpoint, revision: int = 1, **policies: Document
) -> Document:
    """Return the record of a service.

    :param policies: additional fields of the spec, such as ``placement``, ``queue``
        and ``hand_off``.
    """
    spec = {
        "number": plan.number,
        "address": asdict(address),
        "classes": [asdict(request_class) for request_class in plan.classes],
        **policies,
    }
    return record(kind="service", id=plan.id, revision=revision, spec=spec)


def upstream_record(
    *, id: str, plan: ServicePlan, host: str, failure_domain: str, revision: int = 1
) -> Document:
    """Return the record of an upstream."""
    spec = {
        "service": plan.id,
        "agent": {"host": host, "port": INNER_PORT},
        "peer_port": PEER_PORT,
        "failure_domain": failure_domain,
        "slots": plan.slots,
    }
    return record(kind="upstream", id=id, revision=revision, spec=spec)


def instance_entry(
    *, id: str, role: str, host: str, region: str, failure_domain: str, leaving: bool
) -> Document:
    """Return an entry of the platform's instance list."""
    return {
        "Node": {"Node": id, "Datacenter": region},
        "Service": {
            "ID": id,
            "Address": host,
            "Port": INNER_PORT,
            "Tags": [role],
            "Meta": {
                "peer_port": str(PEER_PORT),
                "failure_domain": failure_domain,
                "leaving": "true" if leaving else "false",
            },
        },
        "Checks": [],
    }


def daemon_settings(
    *,
    id: str,
    role: str,
    host: str,
    region: str,
    failure_domain: str,
    platform: Endpoint,
    log_level: str,
) -> Document:
    """Return the settings that agents and balancers have in common."""
    return {
        "role": role,
        "id": id,
        "region": region,
        "failure_domain": failure_domain,
        "host": host,
        "inner_port": INNER_PORT,
        "peer_port": PEER_PORT,
        "metrics_port": METRICS_PORT,
        "platform": [f"http://{platform}"],
        "log": {"level": log_level},
    }


def agent_settings(
    shared: Document, *, service: str, certificates: Certificates
) -> Document:
    """Return the settings of an agent on the same host as its upstream."""
    return {
        **shared,
        "service": service,
        "upstream": {
            "host": shared["host"],
            "port": UPSTREAM_PORT,
            "health_path": "/health",
            "load_path": "/load",
        },
        "tls": {
            "certificate": str(certificates.certificate),
            "private_key": str(certificates.private_key),
        },
    }


def balancer_settings(shared: Document) -> Document:
    """Return the settings of a balancer behind the fabric."""
    return {**shared, "outer_host": shared["host"]}


def write_settings(path: Path, settings: Document) -> None:
    """Write a settings file with a comment that names its origin."""
    path.write_text(
        "// Written for an emulated fleet; see docs/CLI.md for every field.\n"
        + json.dumps(settings, indent=2)
        + "\n"
    )
