"""Faults that a soak injects from outside the processes, and their schedules."""

from __future__ import annotations

import random

from attrs import frozen


@frozen(kw_only=True)
class Fault:
    """One scheduled fault.

    :param at: start, in seconds after the start of the schedule.
    :param kind: name of the method of ``Injector`` that injects the fault.
    :param target: number of the affected process, host or split, modulo their count.
    :param seconds: duration, for kinds of faults that have one.
    """

    at: float
    kind: str
    target: int
    seconds: float


PROCESS_FAULTS = (
    "kill_balancer",
    "kill_agent",
    "stop_balancer",
    "stop_agent",
    "pause_balancer",
    "pause_agent",
    "kill_everything",
    "reload_settings",
)
STORE_FAULTS = (
    "store_busy",
    "store_garbled",
    "store_silent",
    "store_delayed",
    "store_reset",
    "store_one_way",
    "store_compacted",
)
HOST_FAULTS = ("crash_host", "drain_host", "freeze_host", "reuse_address")
OTHER_FAULTS = ("lose_packets", "change_routes")
INITIAL_FAULT_KINDS = (*PROCESS_FAULTS, *STORE_FAULTS, *HOST_FAULTS, *OTHER_FAULTS)
"""Kinds that seeds up to 400 draw from; a change would alter their schedules."""
FAULT_KINDS = (*INITIAL_FAULT_KINDS, "change_split", "restart_without_store")
MAX_FAULT_SECONDS = 2.5
BURST_SHARE = 0.3
"""Share of the faults that follow the previous one within 0.1 s."""


def make_schedule(
    seed: int, *, seconds: float, pause: float, kinds: tuple[str, ...] = FAULT_KINDS
) -> tuple[Fault, ...]:
    """Draw a reproducible schedule of faults, which may overlap or come in bursts.

    :param seconds: time in which the faults begin, in seconds.
    :param pause: mean time between two bursts, in seconds.
    """
    rng = random.Random(seed)
    faults = []
    at = rng.uniform(0.2, pause)
    while at < seconds:
        faults.append(
            Fault(
                at=round(at, 3),
                kind=rng.choice(kinds),
                target=rng.randrange(1_000),
                seconds=round(rng.uniform(0.2, MAX_FAULT_SECONDS), 2),
            )
        )
        is_burst = rng.random() < BURST_SHARE
        at += rng.uniform(0.0, 0.1) if is_burst else rng.expovariate(1.0 / pause)
    return tuple(faults)
