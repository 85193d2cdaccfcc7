"""Sends a load to a running fleet and prints its measures as JSON.

Start the fleet with ``FLEET_FILE=fleet.json make fleet`` and pass that file as
``--fleet``. Arrivals are open-loop: they do not wait for earlier answers, and
latency is measured from the planned arrival.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import uvloop
from absl import app, flags
from attrs import asdict

from daisygauge_emulator._server import limit_library_logging
from daisygauge_emulator.caller import Client, Target
from daisygauge_emulator.load import (
    ExponentialWork,
    LoadPlan,
    Phase,
    RequestKind,
    draw_arrivals,
    open_callers,
    run_load,
    single_queue_latencies,
    summarize,
    summarize_latencies,
)


def read_target(description: dict[str, Any], service: str) -> Target:
    """Return the target of a service from the description of a fleet."""
    found = [entry for entry in description["services"] if entry["id"] == service]
    if not found:
        known = ", ".join(entry["id"] for entry in description["services"])
        sys.exit(f"no service {service!r} in the fleet file; choose one of {known}")
    return Target(
        service=service,
        host=found[0]["host"],
        port=found[0]["port"],
        server_name=found[0]["server_name"],
        ca_path=description["ca"],
    )


async def load() -> None:
    """Run the load that the flags describe and print its measures."""
    values = flags.FLAGS
    description = json.loads(Path(values.fleet).read_text())
    target = read_target(description, values.service)
    slots = {
        host["id"]: host["slots"]
        for host in description["hosts"]
        if host["service"] == values.service
    }
    capacity = sum(slots.values()) / (values.work_ms / 1_000)
    kind = RequestKind(
        name="lookup",
        share=1.0,
        work=ExponentialWork(mean_seconds=values.work_ms / 1_000),
    )
    plan = LoadPlan(
        phases=(Phase(seconds=values.seconds, rate=values.load * capacity),),
        kinds=(kind,),
        flows=values.flows,
        seed=values.seed,
    )
    arrivals = draw_arrivals(plan)
    callers = await open_callers(
        target, count=values.flows, client=Client(values.client)
    )
    result = await run_load(arrivals, callers=callers)
    ideal = single_queue_latencies(arrivals, slots=sum(slots.values()))
    summary = asdict(summarize(result, slots=slots))
    summary["single_queue"] = asdict(summarize_latencies(ideal))
    print(json.dumps(summary, indent=2))
    for caller in callers:
        await caller.close()


def define_flags() -> None:
    """Define the command-line flags."""
    flags.DEFINE_string("fleet", None, "File written by make fleet.", required=True)
    flags.DEFINE_string("service", None, "Id of the service.", required=True)
    flags.DEFINE_float(
        "load", 0.7, "Offered load as a share of the capacity of all slots.", 0
    )
    flags.DEFINE_float("work_ms", 20.0, "Mean duration of a run in milliseconds.", 0.1)
    flags.DEFINE_float("seconds", 20.0, "Duration of the load in seconds.", 1)
    flags.DEFINE_integer("flows", 20, "Connections.", 1)
    flags.DEFINE_integer("seed", 1, "Seed of the arrivals.")
    flags.DEFINE_enum(
        "client",
        "qh3",
        [client.value for client in Client],
        "HTTP/3 library of the callers.",
    )


def main(argv: list[str]) -> None:
    """Parse the command line and run the load."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}; use --name=value")
    limit_library_logging()
    uvloop.run(load())


if __name__ == "__main__":
    define_flags()
    app.run(main)
