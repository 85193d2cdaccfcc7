"""Client that reads the configuration status of a running fleet."""

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

OPERATOR = Member(
    id="daisygaugectl", role=Role.BALANCER, region="", failure_domain="operators"
)


class NoAnswerError(ConnectionError):
    """None of the daemons that were asked has answered."""

    def __init__(self, *, asked: Sequence[str]) -> None:
        names = ", ".join(asked) or "no daemon is on the instance list"
        super().__init__(
            f"no answer from a daemon ({names}); check that one of them runs, that "
            "its peer port can be reached and that clocks are within 30 s"
        )


async def fetch_status(
    *, platform: Sequence[str], daemon: str | None = None
) -> StatusAnswer:
    """Return the status of the whole fleet as one daemon knows it.

    Nothing is changed. Keys and addresses are read from the platform.

    :param platform: base addresses of the platform's servers.
    :param daemon: id of the instance to ask, or None to ask balancers until one
        answers.
    :raises PlatformUnavailableError: if the platform can't be read.
    :raises NoAnswerError: if none of the daemons that were asked has answered.
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
        member=OPERATOR,
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
