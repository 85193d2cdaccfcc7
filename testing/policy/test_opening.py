import pytest
from hypothesis import given, strategies as st

from daisygauge_policy import (
    AskedAgent,
    BusyAgent,
    OpeningReason,
    PassOpening,
    RefuseOpening,
    TakeOpening,
    choose_candidate,
    decide_opening,
)

A, B, C, D, E, F = (bytes([10, 0, 0, n]) for n in range(6))
ALL = (A, B, C, D, E)


def decide(own, *, load=0, slots=2, tried=(), hops=None, **options):
    return decide_opening(
        own=AskedAgent(
            agent=own, load=load, slots=slots,
            inability=options.pop("inability", None),
            reluctance=options.pop("reluctance", None),
            utilization=options.pop("utilization", None),
        ),
        candidates=options.pop("candidates", ALL),
        tried=tried,
        hops=len(tried) if hops is None else hops,
        best=options.pop("best", None),
        final=options.pop("final", False),
    )  # fmt: skip


def test_an_agent_with_a_free_slot_takes_a_flow():
    assert decide(A, load=1) == TakeOpening()


def test_a_busy_agent_asks_the_next_one():
    assert decide(A, load=2) == PassOpening(
        target=B, reason=OpeningReason.BUSY, tried=(A,)
    )


def test_the_least_busy_agent_takes_a_flow_when_all_are_busy():
    best = BusyAgent(agent=B, load=3)

    decision = decide(D, load=5, tried=(A, B, C), best=best)

    assert (decision.target, decision.final) == (B, True)


def test_the_last_agent_keeps_a_flow_when_it_is_the_least_busy():
    best = BusyAgent(agent=B, load=7)

    assert decide(D, load=5, tried=(A, B, C), best=best) == TakeOpening()


def test_a_final_agent_that_is_unable_asks_any_other():
    decision = decide(B, inability=OpeningReason.FULL, final=True, hops=4)

    assert (decision.target, decision.final) == (A, True)


def test_a_flow_is_refused_when_no_agent_is_left():
    decision = decide(A, inability=OpeningReason.LEAVING, candidates=(A,), final=False)

    assert decision == RefuseOpening(reason=OpeningReason.LEAVING)


def test_more_agents_are_asked_where_utilization_decides():
    """Few long flows find a fast upstream among four when many are slow."""
    tried = ALL[:4]
    best = BusyAgent(agent=B, load=0, utilization=0.6)

    by_load = decide(E, load=2, tried=tried, best=best)
    by_utilization = decide(
        E, load=2, tried=tried, best=best, utilization=0.9, candidates=(*ALL, F)
    )

    assert (by_load.target, by_load.final) == (B, True)
    assert (by_utilization.target, by_utilization.final) == (F, False)


def test_a_reluctant_agent_with_a_free_slot_asks_the_next_one():
    """A failing host is idle, so that flows would be drawn to it."""
    decision = decide(A, reluctance=OpeningReason.FAILING)

    assert decision == PassOpening(target=B, reason=OpeningReason.FAILING, tried=(A,))


def test_a_busy_agent_takes_a_flow_before_a_reluctant_one():
    best = BusyAgent(agent=B, load=7)

    decision = decide(D, reluctance=OpeningReason.FAILING, tried=(A, B, C), best=best)

    assert (decision.target, decision.final) == (B, True)


def test_a_reluctant_agent_takes_a_flow_that_no_other_one_takes():
    """No flow is refused because hosts fail requests."""
    decision = decide(A, reluctance=OpeningReason.FAILING, candidates=(A,))

    assert decision == TakeOpening()


def test_an_agent_of_another_service_never_takes_a_flow():
    decision = decide(E, inability=OpeningReason.OTHER_SERVICE, candidates=(A, B))

    assert decision.target == A


def test_a_free_but_much_used_agent_asks_the_next_one():
    """Long flows stay where they are opened, and a slow upstream would saturate."""
    assert decide(A, utilization=0.5) == PassOpening(
        target=B, reason=OpeningReason.COMPARED, tried=(A,)
    )


def test_a_lightly_used_agent_takes_a_flow():
    """Asking others would cost hops and gain almost nothing."""
    assert decide(A, utilization=0.1) == TakeOpening()


@pytest.mark.parametrize(
    ("own", "best", "takes"),
    [(0.4, 0.5, True), (0.5, 0.4, False), (0.4, 0.4, False), (0.4, None, False)],
)
def test_the_least_used_agent_takes_a_flow(own, best, takes):
    """The loads, 1 here and 0 at the other, decide where utilization doesn't."""
    other = BusyAgent(agent=B, load=0, utilization=best)

    # D is the last agent that is asked.
    decision = decide(
        D, load=1, utilization=own, tried=(A, B, C), best=other, candidates=ALL[:4]
    )

    assert isinstance(decision, TakeOpening) == takes


@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.booleans(), st.none() | st.floats(0.0, 1.5)),
        min_size=1,
        max_size=12,
    ),
    st.integers(0, 11),
)
def test_every_opening_ends_at_an_able_agent_or_is_refused(agents, start):
    """Pass one packet on between agents of any load, ability and utilization."""
    names = [bytes([10, 0, 1, n]) for n in range(len(agents))]
    own = start % len(agents)
    tried, hops, best, final = (), 0, None, False
    for _ in range(20):
        load, is_able, utilization = agents[own]
        asked = AskedAgent(
            agent=names[own], load=load, slots=2, utilization=utilization,
            inability=None if is_able else OpeningReason.SILENT,
        )  # fmt: skip
        decision = decide_opening(
            own=asked, candidates=names, tried=tried, hops=hops, best=best, final=final,
        )  # fmt: skip
        if is_able and (best is None or asked.is_less_used(best)):
            best = BusyAgent(agent=names[own], load=load, utilization=utilization)
        if not isinstance(decision, PassOpening):
            break
        tried, final, hops = decision.tried, decision.final, hops + 1
        own = names.index(decision.target)
    able = any(is_able for _, is_able, _ in agents)
    assert isinstance(decision, TakeOpening) == able or hops >= 11
    if isinstance(decision, TakeOpening):
        assert agents[own][1]


@pytest.mark.parametrize(
    ("copy", "tried", "offered", "expected"),
    [
        (0, [], [], A),
        (1, [A], [], B),
        (2, [A, B], [], C),
        (1, [A], [A], A),
        (2, [A], [A], B),
        (0, [A, B, C, D, E], [], A),
    ],
)
def test_a_repeated_opening_goes_to_an_agent_not_asked_yet(
    copy, tried, offered, expected
):
    assert choose_candidate(ALL, copy=copy, tried=tried, offered=offered) == expected


def test_a_repeated_opening_avoids_silent_agents_while_there_are_others():
    chosen = choose_candidate(ALL, copy=1, tried=[A], offered=[], avoided=[B, C])

    assert chosen == D


def test_silent_agents_are_asked_when_all_are_silent():
    assert choose_candidate((A, B), copy=1, tried=[A], offered=[], avoided=[A, B]) == B


def test_no_agent_is_asked_without_candidates():
    assert choose_candidate((), copy=0, tried=[], offered=[]) is None


def test_a_copy_goes_to_the_agent_that_offered_though_it_gets_no_new_flows():
    """Its failure domain was evacuated after its upstream took the flow."""
    assert choose_candidate((), copy=1, tried=[A], offered=[A]) == A
    assert choose_candidate((B, C), copy=1, tried=[A], offered=[A]) == A
    assert choose_candidate((B, C), copy=2, tried=[A], offered=[A]) == B
