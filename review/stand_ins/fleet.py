"""Starts and stops the project's programs as the platform does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
GRACE_SECONDS = 6.0
RESTART_SECONDS = 0.5
SECTION = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}", re.DOTALL)
VALUE = re.compile(r"{{([\w.]+)(\|json)?}}")


def render(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template of the deploy file."""

    def fill_section(match: re.Match[str]) -> str:
        value = find(fields, match[1])
        if not isinstance(value, list):
            return render(match[2], fields) if value else ""
        parts = []
        for number, entry in enumerate(value):
            comma = "," if number < len(value) - 1 else ""
            part = match[2].replace("{{.|json}}", json.dumps(entry))
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def fill_value(match: re.Match[str]) -> str:
        value = find(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, text))


def find(fields: dict[str, Any], name: str) -> Any:
    """Return the value of a dotted name."""
    value: Any = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
    return value


@dataclass(frozen=True)
class Ports:
    """Ports that are the same on all machines."""

    datagram: int
    outbound: int
    ready: int
    control: int
    app: int
    store: int
    inner: tuple[int, int]


def choose_ports() -> Ports:
    """Return ports that nothing on this machine uses."""
    while True:
        base = random.randrange(20_000, 30_000)
        if all(is_free(base + number) for number in range(25)):
            numbers = [base + number for number in range(6)]
            return Ports(*numbers, inner=(base + 8, base + 23))


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP on all addresses."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True


@dataclass
class Machine:
    """A machine with one process of the system."""

    name: str
    role: str
    address: str
    service: str = ""
    process: subprocess.Popen[bytes] | None = None
    starts: int = field(default=0)


class Fleet:
    """The machines of a small deployment on loopback addresses."""

    def __init__(self, *, balancers: int, services: dict[str, int]) -> None:
        self.ports = choose_ports()
        self.block = random.randrange(64, 250)
        self.folder = tempfile.TemporaryDirectory(prefix="daisygauge-case-")
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.machines: dict[str, Machine] = {}
        for number in range(1, balancers + 1):
            self.add("balancer", self.address(1, number))
        number = 0
        for service, count in services.items():
            for _ in range(count):
                number += 1
                self.add("agent", self.address(2, number), service)

    def add(self, role: str, address: str, service: str = "") -> Machine:
        """Add a machine."""
        machine = Machine(f"{role}-{address}", role, address, service)
        self.machines[address] = machine
        return machine

    def address(self, kind: int, number: int) -> str:
        """Return a loopback address of this fleet."""
        return f"127.{self.block}.{kind}.{number}"

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return self.address(9, 1)

    def of_role(self, role: str) -> list[Machine]:
        """Return the machines of a role."""
        return [m for m in self.machines.values() if m.role == role]

    def make_fields(self, machine: Machine) -> dict[str, Any]:
        """Return the platform's fields for a machine's settings."""
        ports, address = self.ports, machine.address
        seeds = [f"{m.address}:{ports.control}" for m in self.of_role("balancer")[:3]]
        fields: dict[str, Any] = {
            "nodeName": machine.name,
            "region": "region-1",
            "zone": "zone-a",
            "ipAddress": address,
            "listenAddresses": {
                "datagramAddress": f"{address}:{ports.datagram}",
                "ready": f"{address}:{ports.ready}",
                "outbound": f"{address}:{ports.outbound}",
            },
            "internalPortRange": list(ports.inner),
            "platform": {"address": f"{self.store_address}:{ports.store}"},
            "seedNodes": seeds,
            "bootstrap": machine.starts == 0,
            "bounds": {"flowLifetimeS": 60, "graceS": 6},
            "limits": {"linkMbps": 1000.0},
        }
        if machine.role == "agent":
            fields |= {"service": machine.service, "app": f"{address}:{ports.app}"}
        return fields

    def start(self, machine: Machine) -> None:
        """Start a machine's process with the command of the deploy file.

        The first process of a machine that is added later isn't part of the first
        start of the system; its number of starts is 1 before.
        """
        role = self.roles[machine.role]
        template = (ROOT / role["template"]).read_text()
        folder = Path(self.folder.name)
        settings = folder / f"{machine.name}.conf"
        settings.write_text(render(template, self.make_fields(machine)))
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment |= {
            "DAISYGAUGE_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        machine.starts += 1
        with (folder / f"{machine.name}.log").open("ab") as log:
            machine.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def restart(self, machine: Machine) -> None:
        """Stop a process as planned and start it again."""
        await self.shut_down(machine)
        await asyncio.sleep(RESTART_SECONDS)
        self.start(machine)

    async def shut_down(self, machine: Machine) -> None:
        """Stop a process as planned."""
        process = machine.process
        process.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + GRACE_SECONDS
        while process.poll() is None and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            process.wait()

    def stop(self) -> None:
        """End every process."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines.values():
            if machine.process is not None:
                machine.process.wait()
