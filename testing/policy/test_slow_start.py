from hypothesis import given, strategies as st

from daisygauge_policy import SlowStart, slow_start_share


@given(
    younger=st.floats(0, 100),
    older=st.floats(0, 100),
    ramp_seconds=st.floats(0, 60),
)
def test_shares_grow_with_age_and_stay_positive(younger, older, ramp_seconds):
    younger, older = sorted((younger, older))

    low = slow_start_share(age_seconds=younger, ramp_seconds=ramp_seconds)
    high = slow_start_share(age_seconds=older, ramp_seconds=ramp_seconds)

    assert 0.0 < low <= high <= 1.0


def test_a_host_of_the_first_list_is_warm_and_a_later_one_starts_slowly():
    slow_start = SlowStart()
    slow_start.observe_hosts(frozenset({"a"}), now=100.0)
    slow_start.observe_hosts(frozenset({"a", "b"}), now=200.0)

    assert slow_start.shares(now=200.0, ramp_seconds=10.0) == {"b": 0.125}
    assert slow_start.shares(now=210.0, ramp_seconds=10.0) == {}


def test_a_restarted_host_starts_slowly_again():
    slow_start = SlowStart()
    slow_start.observe_hosts(frozenset({"a"}), now=100.0)

    slow_start.observe_restart("a", now=300.0)

    assert slow_start.shares(now=305.0, ramp_seconds=10.0) == {"a": 0.625}
