"""The policies that are compared."""

from __future__ import annotations

from typing import Any

OURS = "ours"
_FIFO = {"type": "fifo"}
_NO_HAND_OFF = {"type": "none"}

POLICIES: dict[str, dict[str, Any]] = {
    OURS: {},
    "hash": {
        "placement": {"type": "rendezvous", "pass_margin": None},
        "queue": _FIFO,
        "hand_off": _NO_HAND_OFF,
    },
    "round-robin": {
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
