from hypothesis import given, strategies as st

from daisygauge_policy import ConcurrencyLimit, RunEnd, UpstreamState


def run(limit, name, *, start, end, how=RunEnd.COMPLETED, expected=0.1):
    limit.start(name, expected_seconds=expected, now=start)
    limit.end(name, how=how, now=end)


def test_all_slots_are_used_while_runs_complete():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=0.1, now=0.0)

    assert limit.may_start(now=0.0)
    limit.start("b", expected_seconds=0.1, now=0.0)
    assert not limit.may_start(now=0.0)


def test_a_shed_run_lowers_the_limit_after_a_short_pause():
    limit = ConcurrencyLimit(slots=4)

    run(limit, "a", start=0.0, end=0.01, how=RunEnd.SHED)

    assert limit.allowed(now=0.02) == 0
    assert limit.allowed(now=0.07) == 3


def test_consecutive_sheds_back_off_longer_until_a_completion():
    limit = ConcurrencyLimit(slots=2)
    now, pauses = 0.0, []
    for number in range(8):
        run(limit, str(number), start=now, end=now, how=RunEnd.SHED)
        pauses.append(round(limit.paused_until - now, 3))
        now = limit.paused_until

    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0]
    run(limit, "whole", start=now, end=now + 0.1)
    assert limit.state is UpstreamState.OPEN


def test_simultaneous_sheds_lower_the_limit_once():
    limit = ConcurrencyLimit(slots=4)
    for name in "abcd":
        limit.start(name, expected_seconds=0.1, now=0.0)
    for name in "abcd":
        limit.end(name, how=RunEnd.SHED, now=0.1)

    assert limit.allowed(now=1.0) == 3


def test_the_limit_grows_back_with_completions():
    limit = ConcurrencyLimit(slots=2)
    run(limit, "shed", start=0.0, end=0.0, how=RunEnd.SHED)
    for number in range(8):
        run(limit, str(number), start=1.0 + number, end=1.5 + number)

    assert limit.allowed(now=20.0) == 2


def test_a_black_hole_is_detected_and_probed_one_at_a_time():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=0.05, now=0.0)
    limit.start("b", expected_seconds=0.05, now=0.0)

    assert limit.allowed(now=0.9) == 2
    assert limit.allowed(now=1.0) == 0
    assert limit.state is UpstreamState.SILENT
    assert limit.may_start(now=1.5)
    limit.start("probe", expected_seconds=0.05, now=1.5)
    assert not limit.may_start(now=1.6)


def test_probes_of_a_black_hole_back_off():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=0.05, now=0.0)
    limit.allowed(now=1.0)
    now, probes = 1.0, []
    while now < 60.0:
        if limit.may_start(now=now):
            limit.start(f"probe-{now}", expected_seconds=0.05, now=now)
            probes.append(now)
        now += 0.1

    gaps = [later - earlier for earlier, later in zip(probes, probes[1:], strict=False)]
    # Time advances in steps of 0.1 s in this test.
    assert all(
        gap >= earlier - 0.2 for earlier, gap in zip(gaps, gaps[1:], strict=False)
    )
    assert len(probes) <= 10


def test_an_answered_probe_opens_all_slots_again():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=0.05, now=0.0)
    limit.allowed(now=1.0)
    limit.end("a", how=RunEnd.FAILED, now=1.2)

    run(limit, "probe", start=1.5, end=1.6)

    assert limit.state is UpstreamState.OPEN
    assert limit.allowed(now=1.6) == 2


def test_long_requests_are_not_taken_for_a_black_hole():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=5.0, now=0.0)
    limit.start("b", expected_seconds=0.1, now=0.0)

    assert limit.allowed(now=20.0) == 2


def test_an_upstream_that_refuses_connections_gets_no_requests_for_a_while():
    limit = ConcurrencyLimit(slots=2)
    for number in range(3):
        run(limit, str(number), start=0.1, end=0.1, how=RunEnd.FAILED)

    assert limit.allowed(now=0.2) == 0
    assert limit.allowed(now=0.6) == 1


def test_a_cancelled_run_changes_nothing():
    limit = ConcurrencyLimit(slots=2)
    for number in range(10):
        run(limit, str(number), start=0.1, end=0.2, how=RunEnd.CANCELLED)

    assert limit.allowed(now=0.2) == 2
    assert limit.state is UpstreamState.OPEN


def test_the_end_of_an_unknown_run_is_ignored():
    limit = ConcurrencyLimit(slots=2)

    limit.end("never-started", how=RunEnd.SHED, now=0.0)

    assert limit.allowed(now=0.0) == 2


@given(
    steps=st.lists(
        st.tuples(st.sampled_from([*RunEnd, "start"]), st.floats(0.0, 3.0)),
        max_size=60,
    ),
    slots=st.integers(1, 4),
)
def test_the_limit_stays_in_bounds_and_always_recovers(steps, slots):
    limit = ConcurrencyLimit(slots=slots)
    now, names = 0.0, []
    for number, (step, pause) in enumerate(steps):
        now += pause
        if step == "start":
            if limit.may_start(now=now):
                names.append(str(number))
                limit.start(names[-1], expected_seconds=0.1, now=now)
        elif names:
            limit.end(names.pop(0), how=step, now=now)

        assert 0 <= limit.allowed(now=now) <= slots

    now += 100.0
    for name in names:
        limit.end(name, how=RunEnd.FAILED, now=now)
    assert limit.may_start(now=now + 10.0)


def test_a_probe_is_due_once_after_the_back_off():
    limit = ConcurrencyLimit(slots=2)
    limit.start("a", expected_seconds=0.05, now=0.0)
    limit.allowed(now=1.0)

    assert not limit.is_probe_due(repeatable=True, now=1.4)
    assert limit.is_probe_due(repeatable=True, now=1.5)
    assert not limit.is_probe_due(repeatable=False, now=1.5)
    assert limit.is_probe_due(repeatable=False, now=6.5)
    limit.start("probe", expected_seconds=0.05, now=6.5)
    assert not limit.is_probe_due(repeatable=True, now=6.5)
    limit.end("probe", how=RunEnd.COMPLETED, now=6.6)
    assert not limit.is_probe_due(repeatable=True, now=6.6)
