"""Which daemons watch the platform, and whom the others follow.

The balancers of a failure domain are ordered by rendezvous hashing (Thaler and
Ravishankar, 1998); the first few that nobody suspects are its seats. Every daemon
computes this from its own instance list, so no election is needed: two lists that
differ give a few seats more, never a wrong configuration.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable

from attrs import frozen

from daisygauge_records import Instance, Role

from ._member import Member

SEATS_PER_DOMAIN = 3
LINKS_PER_FOLLOWER = 2


@frozen(kw_only=True)
class Plan:
    """What a daemon does to stay up to date.

    :param seat: whether it watches the platform.
    :param links: the daemons that it follows, most preferred first.
    """

    seat: bool
    links: tuple[Instance, ...]


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


def choose_seats(
    instances: Iterable[Instance],
    *,
    failure_domain: str,
    suspects: Collection[str] = (),
) -> tuple[Instance, ...]:
    """Return the seats of a failure domain, first in rank first."""
    ranked = rank_balancers(instances, failure_domain=failure_domain)
    trusted = [instance for instance in ranked if instance.id not in suspects]
    return tuple(trusted[:SEATS_PER_DOMAIN])


def make_plan(
    member: Member, instances: Collection[Instance], *, suspects: Collection[str]
) -> Plan:
    """Decide whether a daemon is a seat and whom it follows.

    :param suspects: ids of instances that did not answer lately.
    """
    own = choose_seats(
        instances, failure_domain=member.failure_domain, suspects=suspects
    )
    others = [seat for seat in own if seat.id != member.id]
    preferred = _prefer(member, others)
    if len(others) < len(own):
        return Plan(seat=True, links=_link_seat(member, instances, suspects, own))
    links = preferred[:LINKS_PER_FOLLOWER]
    if len(links) < LINKS_PER_FOLLOWER:
        links = [*links, *_find_elsewhere(member, instances, suspects)]
    return Plan(seat=False, links=tuple(links[:LINKS_PER_FOLLOWER]))


def _prefer(member: Member, seats: Iterable[Instance]) -> list[Instance]:
    """Order seats differently for each follower, which spreads the load."""
    return sorted(seats, key=lambda seat: _score(member.id, seat.id))


def _link_seat(
    member: Member,
    instances: Collection[Instance],
    suspects: Collection[str],
    own: tuple[Instance, ...],
) -> tuple[Instance, ...]:
    """Link a seat to the next of its own domain, the next domain and another one.

    The links to the next make rings of the seats of a domain and of the domains,
    so that a change which only one seat could read reaches all.
    """
    position = [seat.id for seat in own].index(member.id)
    links = [*own[position + 1 :], *own[:position]][:1]
    domains = _other_domains(member, instances)
    following = [name for name in domains if name > member.failure_domain]
    ring = [*following, *(name for name in domains if name < member.failure_domain)]
    seats_of = {
        domain: choose_seats(instances, failure_domain=domain, suspects=suspects)
        for domain in ring
    }
    served = [domain for domain in ring if seats_of[domain]]
    others = sorted(served[1:], key=lambda name: _score(member.id, name))
    for domain in served[:1] + others[:1]:
        links += _prefer(member, seats_of[domain])[:1]
    return tuple(links)


def _find_elsewhere(
    member: Member, instances: Collection[Instance], suspects: Collection[str]
) -> list[Instance]:
    """Return seats of other domains, those of the own region first."""
    regions = {entry.failure_domain: entry.region for entry in instances}
    domains = sorted(
        _other_domains(member, instances),
        key=lambda name: (regions[name] != member.region, _score(member.id, name)),
    )
    found: list[Instance] = []
    for domain in domains:
        seats = choose_seats(instances, failure_domain=domain, suspects=suspects)
        found += _prefer(member, seats)[:1]
        if len(found) >= LINKS_PER_FOLLOWER:
            break
    return found


def _other_domains(member: Member, instances: Iterable[Instance]) -> list[str]:
    names = {entry.failure_domain for entry in instances if entry.role is Role.BALANCER}
    return sorted(names - {member.failure_domain})


AGENT_BALANCERS = 16
AGENT_RANKED = 8


def select_instances(
    instances: dict[str, Instance],
    *,
    member: Member,
    upstreams: Collection[str],
) -> dict[str, Instance]:
    """Return the part of the instance list that a daemon needs.

    A balancer needs all of it. An agent needs its service's agents, some balancers
    of its region, and the first in rank of its failure domain to find seats.

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
    wanted = [*near[:AGENT_BALANCERS], *ranked[:AGENT_RANKED]]
    agents = [instances[id] for id in upstreams if id in instances]
    own = [instances[member.id]] if member.id in instances else []
    return {entry.id: entry for entry in (*agents, *own, *wanted)}
