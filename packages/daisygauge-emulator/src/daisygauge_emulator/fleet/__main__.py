"""Starts a fleet of one deployment and runs it until Ctrl-C.

The description of the fleet is printed as JSON and written to the file that the
environment variable ``FLEET_FILE`` names. It contains the address of each service,
the certificate of the certificate authority and every process, so that any client
can be tested against the fleet and any process can be killed by hand.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from absl import flags

from daisygauge_emulator._server import create_stop_event, run_main
from daisygauge_emulator.fleet import (
    DEPLOYMENTS,
    AddressPlan,
    Fleet,
    FleetOptions,
    ManagedProcess,
)

FLEET_FILE = "FLEET_FILE"


def describe_process(process: ManagedProcess) -> dict[str, Any]:
    """Return the identity, address and log file of a process."""
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
    """Return the block given on the command line, or a free one."""
    if flags.FLAGS.block:
        return AddressPlan(block=flags.FLAGS.block)
    return AddressPlan.for_this_process()


async def serve() -> None:
    """Run the fleet until SIGTERM or SIGINT."""
    stopped = create_stop_event()
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
    """Define the command-line flags."""
    flags.DEFINE_enum(
        "deployment", "kuiseb", sorted(DEPLOYMENTS), "Deployment to start."
    )
    flags.DEFINE_string(
        "block", None, "First three octets of the addresses, such as 127.20.1."
    )
    flags.DEFINE_string(
        "directory",
        None,
        "Directory for settings, keys and logs; a temporary one if unset.",
    )


if __name__ == "__main__":
    define_flags()
    run_main(serve)
