"""Faults that a soak injects from outside the processes, and their schedule."""

from __future__ import annotations

import random

from attrs import frozen


@frozen(kw_only=True)
class Fault:
    """One disturbance.

    :param at: seconds after the soak's start.
    :param kind: a method of ``Injector``.
    :param target: number of the process, host or failure domain it strikes.
    :param seconds: how long it lasts, where it ends by itself.
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
FIRST_KINDS = (*PROCESS_FAULTS, *STORE_FAULTS, *HOST_FAULTS, *OTHER_FAULTS)
"""What seeds up to 400 were drawn from; their cases stay what they were."""
KINDS = (*FIRST_KINDS, "change_split", "restart_without_store")
LONGEST_SECONDS = 2.5
SERIES_SHARE = 0.3
"""Part of the faults that follow another within a tenth of a second."""


def make_schedule(
    seed: int, *, seconds: float, pause: float, kinds: tuple[str, ...] = KINDS
) -> tuple[Fault, ...]:
    """Draw faults, in series and overlapping.

    :param seconds: faults begin within this time.
    :param pause: mean time between two series.
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
                seconds=round(rng.uniform(0.2, LONGEST_SECONDS), 2),
            )
        )
        is_series = rng.random() < SERIES_SHARE
        at += rng.uniform(0.0, 0.1) if is_series else rng.expovariate(1.0 / pause)
    return tuple(faults)
