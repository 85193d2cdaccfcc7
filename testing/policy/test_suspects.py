from hypothesis import given, strategies as st

from daisygauge_policy import SuspectList

HOSTS = [f"host-{number}" for number in range(7)]


def silence(suspects, host, *, now, times=2):
    for _ in range(times):
        suspects.report_silence(host, now=now)


def test_one_lost_flight_ejects_no_host():
    suspects = SuspectList()

    suspects.report_silence("host-0", now=10.0)

    assert suspects.ejected(HOSTS, now=10.0) == frozenset()


def test_a_silent_host_is_ejected_and_tried_again_later():
    suspects = SuspectList()

    silence(suspects, "host-0", now=10.0)

    assert suspects.ejected(HOSTS, now=10.9) == {"host-0"}
    assert suspects.ejected(HOSTS, now=11.0) == frozenset()


def test_back_off_doubles_up_to_its_limit():
    suspects = SuspectList()
    now = 10.0
    waits = []
    silence(suspects, "host-0", now=now)
    for _ in range(8):
        waits.append(suspects.suspicions["host-0"].until - now)
        now = suspects.suspicions["host-0"].until
        suspects.report_silence("host-0", now=now)

    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 30.0, 30.0, 30.0]


def test_late_silences_of_earlier_flights_do_not_lengthen_the_back_off():
    suspects = SuspectList()

    silence(suspects, "host-0", now=10.0, times=50)

    assert suspects.ejected(HOSTS, now=11.0) == frozenset()


def test_an_answer_clears_a_host():
    suspects = SuspectList()
    silence(suspects, "host-0", now=10.0)

    suspects.report_answer("host-0")

    assert suspects.ejected(HOSTS, now=10.0) == frozenset()


@given(
    reports=st.lists(
        st.tuples(st.sampled_from(HOSTS), st.booleans(), st.floats(0, 5)),
        max_size=80,
    ),
    count=st.integers(0, 7),
)
def test_no_more_than_the_share_is_ever_ejected(reports, count):
    suspects = SuspectList(largest_share=0.5)
    now = 0.0
    for host, answered, pause in reports:
        now += pause
        if answered:
            suspects.report_answer(host)
        else:
            suspects.report_silence(host, now=now)

        assert len(suspects.ejected(HOSTS[:count], now=now)) <= count / 2


def test_unpublished_hosts_are_forgotten():
    suspects = SuspectList()
    silence(suspects, "host-0", now=10.0)

    suspects.retain(["host-1"])

    assert suspects.suspicions == {}


def test_one_flow_tries_a_suspect_after_its_back_off():
    suspects = SuspectList()
    for _ in range(2):
        suspects.report_silence("a", now=0.0)

    assert not suspects.begin_trial("a", now=0.5)
    assert suspects.begin_trial("a", now=1.0)
    assert not suspects.begin_trial("a", now=1.1)
    assert suspects.ejected(["a", "b"], now=1.1) == {"a"}


def test_a_failed_trial_doubles_the_back_off():
    suspects = SuspectList()
    for _ in range(2):
        suspects.report_silence("a", now=0.0)
    suspects.begin_trial("a", now=1.0)
    suspects.report_silence("a", now=1.2)

    assert suspects.ejected(["a", "b"], now=3.1) == {"a"}
    assert suspects.begin_trial("a", now=3.3)


def test_of_too_many_suspects_the_longest_silent_ones_stay_suspected():
    suspects = SuspectList()
    for number, host in enumerate(reversed(HOSTS)):
        silence(suspects, host, now=10.0 + number)

    assert suspects.suspected(HOSTS) == {"host-6", "host-5", "host-4"}
