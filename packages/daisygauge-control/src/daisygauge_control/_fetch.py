"""Asking a running fleet how far its configuration has come."""

from __future__ import annotations

import time
from collections.abc import Sequence

from daisygauge_records import Instance, Role
from daisygauge_wire.control_pb2 import StatusAnswer, StatusRequest

from ._budget import ControlBudget
from ._consul import ConsulReader
from ._member import ALL_SERVICES, Member
from ._node import Node
from ._signal import Signal
from ._state import ConfigurationState
from ._status import ask_status

ASKER = Member(
    id="daisygaugectl", role=Role.BALANCER, region="", failure_domain="operators"
)


class NoAnswerError(ConnectionError):
    """No daemon that was asked has answered."""

    def __init__(self, *, asked: Sequence[str]) -> None:
        names = ", ".join(asked) or "no daemon is on the instance list"
        super().__init__(
            f"no answer from a daemon ({names}); check that one of them runs, that "
            "its peer port can be reached and that clocks are within 30 s"
        )


async def fetch_status(
    *, platform: Sequence[str], daemon: str | None = None
) -> StatusAnswer:
    """Ask one daemon what it knows of the whole fleet; nothing is changed.

    Keys and addresses are read from the platform.

    :param platform: base addresses of the platform's servers.
    :param daemon: instance id to ask; None to ask balancers until one answers.
    :raises PlatformUnavailableError: the platform can't be read.
    :raises NoAnswerError: no daemon that was asked has answered.
    """
    node = await _read_node(platform)
    candidates = _choose_daemons(node, daemon=daemon)
    for candidate in candidates:
        answer = await ask_status(candidate, node=node, request=StatusRequest())
        if answer is not None:
            return answer
    raise NoAnswerError(asked=[candidate.id for candidate in candidates])


async def _read_node(platform: Sequence[str]) -> Node:
    reader = ConsulReader(addresses=platform)
    changed = Signal()
    state = ConfigurationState(service=ALL_SERVICES, changed=changed)
    try:
        keys = await reader.read_keys()
        instances = await reader.read_instances(after=0)
    finally:
        await reader.close()
    state.apply_records(keys.records)
    state.apply_instances(instances.instances)
    return Node(
        member=ASKER,
        state=state,
        budget=ControlBudget(),
        changed=changed,
        is_ready=lambda: True,
        clock=time.time,
    )


def _choose_daemons(node: Node, *, daemon: str | None) -> list[Instance]:
    instances = node.state.view.instances
    if daemon is not None:
        return [instances[daemon]] if daemon in instances else []
    return [entry for entry in instances.values() if entry.role is Role.BALANCER]
