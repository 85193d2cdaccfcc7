"""Weighted rendezvous hashing (highest random weight, Thaler and Ravishankar)."""

from __future__ import annotations

import math
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

_HASH_RANGE = 2.0**64


def rendezvous_score(member: bytes, *, seed: int, weight: float) -> float:
    """Return the score of a member; the member with the highest score wins.

    A member wins a share of seeds proportional to its weight, and another
    member's weight or absence never changes its score.

    :param weight: positive relative weight.
    """
    unit = (xxh3_64_intdigest(member, seed=seed) + 0.5) / _HASH_RANGE
    return weight / -math.log(min(unit, 1.0 - 2.0**-53))


def rank(members: Iterable[str], *, seed: int) -> tuple[str, ...]:
    """Order members of equal weight, the same way in every process."""
    return tuple(
        sorted(
            members,
            key=lambda member: (
                -rendezvous_score(member.encode(), seed=seed, weight=1.0),
                member,
            ),
        )
    )
