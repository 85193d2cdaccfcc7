"""The budget for the searches of a flow, and the steps of a search."""

from hypothesis import given, strategies as st

from daisygauge_policy import PendingSearches, SearchBudget, SearchStep
from daisygauge_policy._search import (
    BURST_PACKETS,
    MAX_PENDING,
    PENDING_SECONDS,
    WIDEN_SECONDS,
)

OWN = b"\x0a\x00\x00\x01"
OTHER = b"\x0a\x00\x00\x02"
FAR = b"\x0a\x00\x00\x03"
BALANCER = b"\x0a\x00\x01\x01"


def begin(searches, flow, *, service=1, now=0.0, ask=()):
    search = searches.begin(
        flow, balancer=BALANCER, service=service, packet=b"", now=now
    )
    search.select_unanswered(ask)
    return search


def test_each_period_of_a_search_asks_another_agent():
    budget = SearchBudget(since=0.0)
    rounds = []
    for step in range(60):
        if budget.try_take(now=step * 0.1):
            rounds.append(budget.rounds)

    assert sorted(set(rounds)) == list(range(rounds[-1] + 1))
    assert max(rounds.count(number) for number in rounds) <= BURST_PACKETS


def step(search, *, route_agents=(OWN, OTHER), all_agents=(OWN, OTHER), now=0.0):
    return search.next_step(
        route_agents=route_agents, all_agents=all_agents, own=OWN, now=now
    )


def test_a_search_gives_up_once_every_agent_has_answered():
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=(OWN, OTHER))

    assert searches.record_absent(b"flow", OWN) is None
    assert step(search) is SearchStep.WAIT

    assert searches.record_absent(b"flow", OTHER) is search
    assert step(search) is SearchStep.GIVE_UP


def test_a_search_widens_to_other_services_before_it_gives_up():
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=(OWN, OTHER))
    all_agents = (OWN, OTHER, FAR)
    searches.record_absent(b"flow", OWN)
    searches.record_absent(b"flow", OTHER)

    assert step(search, all_agents=all_agents) is SearchStep.WIDEN
    search.is_wide = True
    assert search.select_unanswered(all_agents) == [FAR]
    assert step(search, all_agents=all_agents) is SearchStep.WAIT

    assert searches.record_absent(b"flow", FAR) is search
    assert step(search, all_agents=all_agents) is SearchStep.GIVE_UP


def test_a_silent_agent_of_the_route_does_not_keep_a_search_from_the_others():
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=(OWN, OTHER))
    all_agents = (OWN, OTHER, FAR)
    searches.record_absent(b"flow", OWN)

    assert step(search, all_agents=all_agents) is SearchStep.WAIT
    widened = step(search, all_agents=all_agents, now=WIDEN_SECONDS)

    assert widened is SearchStep.WIDEN


@given(
    agents=st.sets(st.binary(min_size=4, max_size=4), min_size=2, max_size=8),
    data=st.data(),
)
def test_only_the_answers_of_all_agents_end_a_search(agents, data):
    """A silent agent may hold the flow, so time alone must not reset it."""
    all_agents = {OWN, *agents}
    route_agents = data.draw(st.sets(st.sampled_from(sorted(all_agents))))
    answered = data.draw(st.sets(st.sampled_from(sorted(all_agents))))
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=all_agents)
    for agent in answered:
        searches.record_absent(b"flow", agent)

    late = step(
        search, route_agents=route_agents, all_agents=all_agents, now=PENDING_SECONDS
    )

    assert (late is SearchStep.GIVE_UP) == (answered == all_agents)


def test_an_agent_that_joined_during_a_search_is_asked():
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=(OWN, OTHER))
    searches.record_absent(b"flow", OWN)
    searches.record_absent(b"flow", OTHER)

    joined = (OWN, OTHER, FAR)

    assert step(search, route_agents=joined, all_agents=joined) is SearchStep.WAIT
    assert search.select_unanswered(joined) == [FAR]


def test_a_search_waits_while_the_list_lacks_the_asking_agent():
    searches = PendingSearches()
    search = begin(searches, b"flow", ask=(OTHER,))
    searches.record_absent(b"flow", OTHER)

    assert step(search, route_agents=[OTHER], all_agents=[OTHER]) is SearchStep.WAIT
    assert step(search, route_agents=[], all_agents=[]) is SearchStep.WAIT


def test_a_repeated_search_asks_only_agents_that_have_not_answered():
    searches = PendingSearches()
    begin(searches, b"flow", ask=(OWN, OTHER))
    searches.record_absent(b"flow", OTHER)

    search = begin(searches, b"flow", now=0.2)

    assert search.select_unanswered((OWN, OTHER)) == [OWN]
    assert searches.record_absent(b"flow", OWN) is search
    assert step(search) is SearchStep.GIVE_UP


def test_answers_to_an_expired_search_are_ignored():
    searches = PendingSearches()
    begin(searches, b"old")
    begin(searches, b"new", now=PENDING_SECONDS + 0.1)

    assert searches.record_absent(b"old", OWN) is None


def test_the_oldest_search_is_dropped_at_the_limit():
    searches = PendingSearches()
    for number in range(MAX_PENDING + 5):
        begin(searches, b"%d" % number)

    assert len(searches.searches) <= MAX_PENDING
    assert b"0" not in searches.searches
