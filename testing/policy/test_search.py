"""How often flows are searched, and when a flow is nowhere."""

from daisygauge_policy import PendingSearches, SearchBudget, is_nowhere
from daisygauge_policy._search import BURST_PACKETS, MAX_PENDING, PENDING_SECONDS

OWN = b"\x0a\x00\x00\x01"
OTHER = b"\x0a\x00\x00\x02"
BALANCER = b"\x0a\x00\x01\x01"


def begin(searches, flow, *, service=1, now=0.0):
    searches.begin(flow, balancer=BALANCER, service=service, now=now)


def test_each_pause_of_a_search_asks_another_agent():
    budget = SearchBudget(since=0.0)
    rounds = []
    for step in range(60):
        if budget.take(now=step * 0.1):
            rounds.append(budget.rounds)

    assert sorted(set(rounds)) == list(range(rounds[-1] + 1))
    assert max(rounds.count(turn) for turn in rounds) <= BURST_PACKETS


def test_a_flow_is_nowhere_once_every_agent_has_said_so():
    searches = PendingSearches()
    begin(searches, b"flow")

    first = searches.note_absent(b"flow", OWN)
    assert not is_nowhere(first, [OWN, OTHER], own=OWN)

    last = searches.note_absent(b"flow", OTHER)
    assert is_nowhere(last, [OWN, OTHER], own=OWN)


def test_a_list_without_the_asking_agent_proves_nothing():
    searches = PendingSearches()
    begin(searches, b"flow")
    search = searches.note_absent(b"flow", OTHER)

    assert not is_nowhere(search, [OTHER], own=OWN)
    assert not is_nowhere(search, [], own=OWN)


def test_a_repeated_search_keeps_what_is_known():
    searches = PendingSearches()
    begin(searches, b"flow")
    searches.note_absent(b"flow", OTHER)

    begin(searches, b"flow", now=0.2)

    assert is_nowhere(searches.note_absent(b"flow", OWN), [OWN, OTHER], own=OWN)


def test_answers_about_another_service_do_not_count():
    searches = PendingSearches()
    begin(searches, b"flow", service=1)
    searches.note_absent(b"flow", OTHER)

    begin(searches, b"flow", service=2)

    assert not is_nowhere(searches.note_absent(b"flow", OWN), [OWN, OTHER], own=OWN)


def test_late_answers_of_a_search_that_is_over_count_for_nothing():
    searches = PendingSearches()
    begin(searches, b"old")
    begin(searches, b"new", now=PENDING_SECONDS + 0.1)

    assert searches.note_absent(b"old", OWN) is None


def test_the_oldest_search_makes_room():
    searches = PendingSearches()
    for number in range(MAX_PENDING + 5):
        begin(searches, b"%d" % number)

    assert len(searches.searches) <= MAX_PENDING
    assert b"0" not in searches.searches
