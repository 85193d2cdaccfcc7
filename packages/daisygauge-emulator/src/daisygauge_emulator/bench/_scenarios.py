"""Scenarios of the benchmark: load, hosts and injected faults."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from ..load import ExponentialWork, LoadPlan, Phase, RequestKind

HOSTS = 7
SLOTS = 2
FLOWS = 56
SEED = 5
MEASUREMENT_START_SECONDS = 5.0
FAULT_LOAD = 0.7

KINDS = (
    RequestKind(
        name="lookup",
        share=0.85,
        work=ExponentialWork(mean_seconds=0.08, max_seconds=0.8),
        worth=1.0,
        deadline_seconds=3.0,
    ),
    RequestKind(
        name="entry",
        share=0.15,
        work=ExponentialWork(mean_seconds=0.15, max_seconds=1.0),
        worth=5.0,
        deadline_seconds=10.0,
        method="POST",
        keyed=True,
    ),
)


@frozen(kw_only=True)
class Scenario:
    """A scenario of the benchmark.

    :param phases: duration in seconds and load as a share of all hosts' capacity.
    :param behaviour: faults of the first host during the whole load.
    :param pinned_hosts: number of hosts that hold all connections, 0 for all hosts.
    :param missing_hosts: number of hosts that are stopped before the load.
    :param measured_from: seconds after the start from which requests are counted.
    :param only_ours: whether only our own policies run, not the baselines.
    """

    id: str
    title: str
    phases: tuple[tuple[float, float], ...]
    behaviour: dict[str, Any] = field(factory=dict)
    pinned_hosts: int = 0
    missing_hosts: int = 0
    measured_from: float = 0.0
    only_ours: bool = False

    def plan(self) -> LoadPlan:
        """Return the load, which is the same for every policy."""
        probe = LoadPlan(phases=(), kinds=KINDS, flows=FLOWS)
        capacity = HOSTS * SLOTS / probe.mean_work_seconds
        phases = tuple(
            Phase(seconds=seconds, rate=load * capacity)
            for seconds, load in self.phases
        )
        return LoadPlan(phases=phases, kinds=KINDS, flows=FLOWS, seed=SEED)


def _fault_scenario(id: str, title: str, **fields: Any) -> Scenario:
    return Scenario(
        id=id,
        title=title,
        phases=((15.0, FAULT_LOAD),),
        measured_from=MEASUREMENT_START_SECONDS,
        only_ours=True,
        **fields,
    )


SCENARIOS = (
    Scenario(id="steady", title="steady day, load 0.7", phases=((21.0, 0.7),)),
    Scenario(id="busy", title="load 0.95", phases=((12.0, 0.95),)),
    Scenario(id="overload", title="load 1.3", phases=((12.0, 1.3),)),
    Scenario(
        id="pinned",
        title="every connection on two hosts, load 0.7",
        phases=((21.0, 0.7),),
        pinned_hosts=2,
        only_ours=True,
    ),
    _fault_scenario("slow", "one host 5 times as slow", behaviour={"slowness": 5.0}),
    _fault_scenario(
        "lying",
        "one host reports idle and sheds",
        behaviour={"shed": True, "load": "idle", "health": "ok"},
    ),
    _fault_scenario(
        "black-hole",
        "one host accepts and never answers",
        behaviour={"black_hole": True, "health": "ok"},
    ),
    _fault_scenario("without", "the same load without that host", missing_hosts=1),
)
