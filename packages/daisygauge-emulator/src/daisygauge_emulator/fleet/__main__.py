"""Starts a fleet of one deployment and keeps it up until Ctrl-C.

Prints as JSON, and writes to the file named by ``FLEET_FILE`` in the
environment, where each service answers, the certificate of the authority and
every process, so that any client can be tried against it and any process
killed by hand.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from absl import flags

from daisygauge_emulator._server import run_main, stop_event
from daisygauge_emulator.fleet import (
    DEPLOYMENTS,
    AddressPlan,
    Fleet,
    FleetOptions,
    ManagedProcess,
)

FLEET_FILE = "FLEET_FILE"


def describe_process(process: ManagedProcess) -> dict[str, Any]:
    """Return what is needed to find a process and its metrics."""
    return {
        "name": process.role,
        "id": process.id,
        "pid": process.pid,
        "address": process.host,
        "metrics_port": process.metrics_port,
        "log": str(process.log_path),
    }


def describe(fleet: Fleet) -> dict[str, Any]:
    """Return the description of a running fleet."""
    services = [
        {
            "id": id,
            "host": address.host,
            "port": address.port,
            "server_name": fleet.server_name(id),
        }
        for id, address in fleet.services.items()
    ]
    hosts = [
        {"id": host.id, "service": host.plan.id, "slots": host.plan.slots}
        for host in fleet.hosts.values()
    ]
    return {
        "deployment": fleet.deployment.id,
        "services": services,
        "hosts": hosts,
        "ca": str(fleet.factory.certificates.ca),
        "platform": fleet.stand_ins.platform,
        "fabric": fleet.stand_ins.fabric,
        "directory": str(fleet.directory),
        "processes": [describe_process(process) for process in fleet.processes],
    }


def choose_addresses() -> AddressPlan:
    """Return the block named on the command line, or a free one."""
    if flags.FLAGS.block:
        return AddressPlan(block=flags.FLAGS.block)
    return AddressPlan.for_this_process()


async def serve() -> None:
    """Keep the fleet up until a signal."""
    stopped = stop_event()
    deployment = DEPLOYMENTS[flags.FLAGS.deployment]
    directory = Path(flags.FLAGS.directory) if flags.FLAGS.directory else None
    options = FleetOptions(directory=directory)
    async with Fleet(
        deployment, addresses=choose_addresses(), options=options
    ) as fleet:
        text = json.dumps(describe(fleet), indent=2)
        print(text, flush=True)
        if FLEET_FILE in os.environ:
            Path(os.environ[FLEET_FILE]).write_text(text + "\n")
        await stopped.wait()


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_enum(
        "deployment", "kuiseb", sorted(DEPLOYMENTS), "Deployment to start."
    )
    flags.DEFINE_string(
        "block", None, "First three numbers of its addresses, such as 127.20.1."
    )
    flags.DEFINE_string(
        "directory", None, "Directory for settings, keys and logs; a new one if unset."
    )


if __name__ == "__main__":
    define_flags()
    run_main(serve)
