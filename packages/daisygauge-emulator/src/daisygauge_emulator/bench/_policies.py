"""Our policies and the baselines that they are compared with."""

from __future__ import annotations

from typing import Any

OURS = "ours"
_FIFO = {"type": "fifo"}
_NO_HAND_OFF = {"type": "none"}

# Distributes the packets of one handshake over several hosts, so that opening the
# connections of a scenario takes minutes. It runs only if it is requested by name.
ROUND_ROBIN = "round-robin"

POLICIES: dict[str, dict[str, Any]] = {
    OURS: {},
    "hash": {
        "placement": {"type": "rendezvous", "pass_margin": None},
        "queue": _FIFO,
        "hand_off": _NO_HAND_OFF,
    },
    ROUND_ROBIN: {
        "placement": {"type": "round-robin"},
        "queue": _FIFO,
        "hand_off": _NO_HAND_OFF,
    },
    "published-load": {
        "placement": {"type": "published-load"},
        "queue": _FIFO,
        "hand_off": _NO_HAND_OFF,
    },
}

DEFAULT_POLICIES = tuple(policy for policy in POLICIES if policy != ROUND_ROBIN)
