"""The experiments: load, hosts and what goes wrong during each."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from ..load import ExponentialWork, LoadPlan, Phase, RequestKind

HOSTS = 7
SLOTS = 2
FLOWS = 56
SEED = 5
ONSET_SECONDS = 5.0
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
class Page:
    """One experiment.

    :param phases: seconds and load, as a share of all hosts' capacity.
    :param behaviour: how the first host deviates from the start on.
    :param pinned_hosts: number of hosts that hold all connections; all when 0.
    :param missing_hosts: hosts that are stopped before the load.
    :param measured_from: seconds from which requests count.
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
        """Return the load, the same for every policy."""
        probe = LoadPlan(phases=(), kinds=KINDS, flows=FLOWS)
        capacity = HOSTS * SLOTS / probe.mean_work_seconds
        phases = tuple(
            Phase(seconds=seconds, rate=load * capacity)
            for seconds, load in self.phases
        )
        return LoadPlan(phases=phases, kinds=KINDS, flows=FLOWS, seed=SEED)


def _fault_page(id: str, title: str, **fields: Any) -> Page:
    return Page(
        id=id,
        title=title,
        phases=((15.0, FAULT_LOAD),),
        measured_from=ONSET_SECONDS,
        only_ours=True,
        **fields,
    )


PAGES = (
    Page(id="steady", title="steady day, load 0.7", phases=((21.0, 0.7),)),
    Page(id="busy", title="load 0.95", phases=((12.0, 0.95),)),
    Page(id="overload", title="load 1.3", phases=((12.0, 1.3),)),
    Page(
        id="pinned",
        title="every connection on two hosts, load 0.7",
        phases=((21.0, 0.7),),
        pinned_hosts=2,
        only_ours=True,
    ),
    _fault_page("slow", "one host 5 times as slow", behaviour={"slowness": 5.0}),
    _fault_page(
        "lying",
        "one host reports idle and sheds",
        behaviour={"shed": True, "load": "idle", "health": "ok"},
    ),
    _fault_page(
        "black-hole",
        "one host accepts and never answers",
        behaviour={"black_hole": True, "health": "ok"},
    ),
    _fault_page("without", "the same load without that host", missing_hosts=1),
)
