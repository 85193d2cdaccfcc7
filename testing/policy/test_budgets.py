from hypothesis import given, strategies as st

from daisygauge_policy import RetryBudget, TokenBucket


@given(
    steps=st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.5)), max_size=300),
    share=st.floats(0.0, 0.5),
)
def test_retries_stay_within_the_share_of_first_tries_and_the_floor(steps, share):
    budget = RetryBudget(share=share, now=0.0)
    now, tries, retries = 0.0, 0, 0
    for is_retry, pause in steps:
        now += pause
        if is_retry:
            retries += budget.try_retry(now=now)
        else:
            tries += 1
            budget.record_first_try()

        assert retries <= 1.0 + share * tries + 0.1 * now + 1e-6


def test_a_quiet_service_may_retry():
    assert RetryBudget(share=0.1, now=0.0).try_retry(now=0.0)


def test_a_long_quiet_time_does_not_allow_a_retry_storm():
    budget = RetryBudget(share=0.1, now=0.0)
    for _ in range(100_000):
        budget.record_first_try()

    assert sum(budget.try_retry(now=1.0) for _ in range(1_000)) == 10


@given(
    takes=st.lists(st.tuples(st.floats(0.1, 5.0), st.floats(0.0, 2.0)), max_size=100),
    rate=st.floats(0.1, 10.0),
    burst=st.floats(1.0, 20.0),
)
def test_a_bucket_never_gives_more_than_its_rate_and_burst(takes, rate, burst):
    bucket = TokenBucket(rate=rate, burst=burst, now=0.0)
    now, taken = 0.0, 0.0
    for amount, pause in takes:
        now += pause
        taken += amount * bucket.try_take(amount, now=now)

        assert taken <= burst + rate * now + 1e-6


def test_a_clock_that_steps_back_gives_no_tokens():
    bucket = TokenBucket(rate=1.0, burst=1.0, now=100.0)
    bucket.try_take(now=100.0)

    assert not bucket.try_take(now=50.0)


def test_wait_seconds_is_the_time_until_the_tokens_are_available():
    bucket = TokenBucket(rate=2.0, burst=1.0, now=0.0)
    bucket.try_take(now=0.0)

    assert bucket.wait_seconds(now=0.0) == 0.5
    assert bucket.wait_seconds(now=1.0) == 0.0
    assert TokenBucket(rate=0.0, burst=0.5, now=0.0).wait_seconds(now=0.0) == float(
        "inf"
    )
