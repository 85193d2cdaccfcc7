"""Configuration status of the fleet, which every daemon can report."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Mapping

from daisygauge_records import Instance, Role
from daisygauge_wire.control_grpc import ControlStub
from daisygauge_wire.control_pb2 import (
    DomainStatus,
    MemberStatus,
    StatusAnswer,
    StatusRequest,
)

from ._node import Node
from ._sealing import open_sealed, seal
from ._subscription import SUBSCRIPTION_ERRORS, Subscription, open_channel
from ._watchers import choose_watchers

ANSWER_SECONDS = 2.0


async def answer_status(
    request: StatusRequest, *, node: Node, subscriptions: Mapping[str, Subscription]
) -> StatusAnswer:
    """Return the status of this failure domain, or of all by asking their watchers.

    An agent knows no other failure domain, so it forwards the request to a peer.
    """
    if request.domain_only:
        return StatusAnswer(domains=[describe_followers(node)])
    if node.member.role is Role.AGENT:
        for subscription in subscriptions.values():
            answer = await ask_status(subscription.peer, node=node, request=request)
            if answer is not None:
                return answer
    return await _ask_domains(node)


def describe_followers(node: Node) -> DomainStatus:
    """Return the status of this daemon and of those that follow it."""
    now = time.monotonic()
    own = MemberStatus(
        member=node.member.id,
        role=node.member.role.value,
        report=node.report(service=node.member.service),
    )
    status = DomainStatus(
        failure_domain=node.member.failure_domain,
        seats=[node.member.id] if node.is_watcher else [],
        members=[own],
    )
    for follower in node.followers.values():
        node.update_behind_since(follower, now=now)
        since = follower.behind_since
        status.members.append(
            MemberStatus(
                member=follower.member.id,
                role=follower.member.role.value,
                report=follower.report,
                behind_seconds=0.0 if since is None else max(now - since, 0.001),
            )
        )
    return status


async def _ask_domains(node: Node) -> StatusAnswer:
    instances = node.state.view.instances
    domains = sorted({entry.failure_domain for entry in instances.values()})
    watchers = [
        watcher
        for domain in domains
        for watcher in choose_watchers(instances.values(), failure_domain=domain)
    ]
    answers = await asyncio.gather(
        *(_ask_domain(watcher, node) for watcher in watchers)
    )
    return merge_answers(
        [answer for answer in answers if answer is not None], instances=instances
    )


async def _ask_domain(watcher: Instance, node: Node) -> DomainStatus | None:
    if watcher.id == node.member.id:
        return describe_followers(node)
    request = StatusRequest(domain_only=True)
    answer = await ask_status(watcher, node=node, request=request)
    return answer.domains[0] if answer is not None and answer.domains else None


async def ask_status(
    peer: Instance, *, node: Node, request: StatusRequest
) -> StatusAnswer | None:
    """Return the status that one daemon reports, or None if the call fails."""
    channel = open_channel(peer, node=node)
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            question = seal(request, keys=node.keys, now=node.clock())
            sealed = await ControlStub(channel).Status(question)
        return open_sealed(sealed, StatusAnswer, keys=node.keys, now=node.clock())
    except SUBSCRIPTION_ERRORS:
        return None
    finally:
        channel.close()


def merge_answers(
    answers: Iterable[DomainStatus], *, instances: Mapping[str, Instance]
) -> StatusAnswer:
    """Merge the answers of watchers into one status by failure domain.

    A daemon that several watchers report is listed with its least ``behind_seconds``.
    """
    members: dict[str, MemberStatus] = {}
    watchers: dict[str, str] = {}
    for answer in answers:
        for id in answer.seats:
            watchers[id] = answer.failure_domain
        for member in answer.members:
            known = members.get(member.member)
            if known is None or member.behind_seconds < known.behind_seconds:
                members[member.member] = member
    domains = sorted({entry.failure_domain for entry in instances.values()})
    return StatusAnswer(
        domains=[
            _describe_domain(
                domain, members=members, watchers=watchers, instances=instances
            )
            for domain in domains
        ]
    )


def _describe_domain(
    domain: str,
    *,
    members: Mapping[str, MemberStatus],
    watchers: Mapping[str, str],
    instances: Mapping[str, Instance],
) -> DomainStatus:
    ids = sorted(
        id for id, entry in instances.items() if entry.failure_domain == domain
    )
    return DomainStatus(
        failure_domain=domain,
        seats=sorted(id for id, name in watchers.items() if name == domain),
        members=[members[id] for id in ids if id in members],
        unseen=[id for id in ids if id not in members],
    )
