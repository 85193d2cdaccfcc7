"""Choice of the daemons that watch the platform and of the peers that others follow.

The balancers of a failure domain are ordered by rendezvous hashing (Thaler and
Ravishankar, 1998). The first few that are not suspect are the watchers of the domain.
Every daemon computes this from its own instance list, so no election is needed. Where
two lists differ, there are a few more watchers, but never a wrong configuration.

On the wire, in events and in metrics, a watcher is called a seat.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

from attrs import frozen

from daisygauge_records import Instance, Role

from ._member import Member

WATCHERS_PER_DOMAIN = 3
SUBSCRIPTIONS_PER_FOLLOWER = 2


@frozen(kw_only=True)
class SubscriptionPlan:
    """How a daemon receives its configuration.

    :param is_watcher: True if the daemon watches the platform.
    :param peers: daemons to follow, most preferred first.
    """

    is_watcher: bool
    peers: tuple[Instance, ...]


def _score(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()


def rank_balancers(
    instances: Iterable[Instance], *, failure_domain: str
) -> list[Instance]:
    """Order the balancers of a failure domain that are not leaving."""
    eligible = [
        instance
        for instance in instances
        if instance.role is Role.BALANCER
        and instance.failure_domain == failure_domain
        and not instance.leaving
    ]
    return sorted(eligible, key=lambda entry: _score(failure_domain, entry.id))


def choose_watchers(
    instances: Iterable[Instance],
    *,
    failure_domain: str,
    suspects: Collection[str] = (),
) -> tuple[Instance, ...]:
    """Return the watchers of a failure domain in the order of their rank."""
    ranked = rank_balancers(instances, failure_domain=failure_domain)
    trusted = [instance for instance in ranked if instance.id not in suspects]
    return tuple(trusted[:WATCHERS_PER_DOMAIN])


def plan_subscriptions(
    member: Member, instances: Collection[Instance], *, suspects: Collection[str]
) -> SubscriptionPlan:
    """Decide whether a daemon watches the platform and which peers it follows.

    :param suspects: ids of instances that recently failed to respond.
    """
    own = choose_watchers(
        instances, failure_domain=member.failure_domain, suspects=suspects
    )
    others = [watcher for watcher in own if watcher.id != member.id]
    preferred = _order_by_preference(member, others)
    if len(others) < len(own):
        return SubscriptionPlan(
            is_watcher=True,
            peers=_choose_watcher_peers(member, instances, suspects, own),
        )
    peers = preferred[:SUBSCRIPTIONS_PER_FOLLOWER]
    if len(peers) < SUBSCRIPTIONS_PER_FOLLOWER:
        peers = [*peers, *_choose_peers_elsewhere(member, instances, suspects)]
    return SubscriptionPlan(
        is_watcher=False, peers=tuple(peers[:SUBSCRIPTIONS_PER_FOLLOWER])
    )


def _order_by_preference(
    member: Member, watchers: Iterable[Instance]
) -> list[Instance]:
    """Order watchers differently for each follower, to balance the load."""
    return sorted(watchers, key=lambda watcher: _score(member.id, watcher.id))


def _choose_watcher_peers(
    member: Member,
    instances: Collection[Instance],
    suspects: Collection[str],
    own: tuple[Instance, ...],
) -> tuple[Instance, ...]:
    """Choose the peers of a watcher: three at most.

    They are the next watcher of its own domain, one of the next domain and one of
    another domain. The subscriptions to the next watcher form a ring over the watchers
    of a domain, and those to the next domain a ring over the domains. A change that
    only one watcher could read thus reaches all of them.
    """
    position = [watcher.id for watcher in own].index(member.id)
    peers = [*own[position + 1 :], *own[:position]][:1]
    domains = _other_domains(member, instances)
    following = [name for name in domains if name > member.failure_domain]
    ring = [*following, *(name for name in domains if name < member.failure_domain)]
    watchers_of = {
        domain: choose_watchers(instances, failure_domain=domain, suspects=suspects)
        for domain in ring
    }
    served = [domain for domain in ring if watchers_of[domain]]
    others = sorted(served[1:], key=lambda name: _score(member.id, name))
    for domain in served[:1] + others[:1]:
        peers += _order_by_preference(member, watchers_of[domain])[:1]
    return tuple(peers)


def _choose_peers_elsewhere(
    member: Member, instances: Collection[Instance], suspects: Collection[str]
) -> list[Instance]:
    """Return watchers of other domains, those of the same region first."""
    regions = {entry.failure_domain: entry.region for entry in instances}
    domains = sorted(
        _other_domains(member, instances),
        key=lambda name: (regions[name] != member.region, _score(member.id, name)),
    )
    found: list[Instance] = []
    for domain in domains:
        watchers = choose_watchers(instances, failure_domain=domain, suspects=suspects)
        found += _order_by_preference(member, watchers)[:1]
        if len(found) >= SUBSCRIPTIONS_PER_FOLLOWER:
            break
    return found


def _other_domains(member: Member, instances: Iterable[Instance]) -> list[str]:
    names = {entry.failure_domain for entry in instances if entry.role is Role.BALANCER}
    return sorted(names - {member.failure_domain})


AGENT_BALANCERS = 16
"""Number of balancers of its region that an agent knows."""
AGENT_RANKED_BALANCERS = 8
"""Number of the highest-ranked balancers of its failure domain that an agent knows."""


def select_instances(
    instances: dict[str, Instance],
    *,
    member: Member,
    upstreams: Collection[str],
) -> dict[str, Instance]:
    """Return the part of the instance list that a daemon needs.

    A balancer needs the whole list. An agent needs the agents of its service, some
    balancers of its region, and the highest-ranked balancers of its failure domain,
    from which it determines the watchers.

    :param upstreams: ids of the agents of the member's service.
    """
    if member.role is Role.BALANCER:
        return instances
    balancers = [
        entry
        for entry in instances.values()
        if entry.role is Role.BALANCER and entry.region == member.region
    ]
    near = sorted(balancers, key=lambda entry: _score(member.id, entry.id))
    ranked = rank_balancers(balancers, failure_domain=member.failure_domain)
    wanted = [*near[:AGENT_BALANCERS], *ranked[:AGENT_RANKED_BALANCERS]]
    agents = [instances[id] for id in upstreams if id in instances]
    own = [instances[member.id]] if member.id in instances else []
    return {entry.id: entry for entry in (*agents, *own, *wanted)}
