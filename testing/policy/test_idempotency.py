import pytest

from daisygauge_policy import (
    REPEAT_WINDOW_SECONDS,
    AskOwner,
    Granted,
    InProgress,
    KeyOwner,
    Moved,
    OtherRequest,
    OutcomeLost,
    OutcomeTable,
    Replay,
    StartRun,
    StoredAnswer,
    TableFull,
)

NOW = 1_000.0
OWN = KeyOwner(agent="host-0", incarnation=1)
PEER = KeyOwner(agent="host-1", incarnation=1)
THIRD = KeyOwner(agent="host-2", incarnation=1)
FINGERPRINT = b"POST /orders"
ANSWER = StoredAnswer(status=201, body=b"order 7")


@pytest.fixture
def table():
    return OutcomeTable(own=OWN)


def begin(table, *, first=None, now=NOW, fingerprint=FINGERPRINT):
    return table.begin("key", fingerprint=fingerprint, first=first, now=now)


def ask(table, *, asker=PEER, now=NOW, fingerprint=FINGERPRINT):
    return table.reply_to_asker("key", fingerprint=fingerprint, asker=asker, now=now)


def test_a_first_attempt_runs_and_its_copy_waits(table):
    assert begin(table) == StartRun()
    assert begin(table) == InProgress()


def test_a_repeat_gets_the_first_answer(table):
    begin(table)
    table.finish("key", answer=ANSWER, now=NOW)

    assert begin(table) == Replay(answer=ANSWER)
    assert ask(table) == Replay(answer=ANSWER)


def test_a_request_with_a_lost_answer_never_runs_again(table):
    begin(table)
    table.finish("key", answer=None, now=NOW)

    assert begin(table) == OutcomeLost()
    assert ask(table) == OutcomeLost()


def test_a_repeat_of_a_refused_request_may_run(table):
    begin(table)
    table.release("key", now=NOW)

    assert begin(table) == StartRun()


def test_a_key_of_another_request_is_refused(table):
    begin(table)

    assert begin(table, fingerprint=b"other") == OtherRequest()
    assert ask(table, fingerprint=b"other") == OtherRequest()


def test_an_unknown_key_is_granted_once_and_not_run_here(table):
    assert ask(table) == Granted()
    assert begin(table) == AskOwner(owner=PEER)
    assert ask(table, asker=THIRD) == InProgress()


def test_a_granted_key_is_granted_again_only_to_the_same_agent(table):
    ask(table)

    assert ask(table) == Granted()
    assert ask(table, asker=THIRD) == Moved(owner=PEER)


def test_a_refused_key_is_granted(table):
    begin(table)
    table.release("key", now=NOW)

    assert ask(table) == Granted()


def test_a_running_key_is_not_granted(table):
    begin(table)

    assert ask(table) == InProgress()


def test_a_repeat_asks_the_host_that_the_caller_names_first(table):
    assert begin(table, first=PEER) == AskOwner(owner=PEER)
    assert table.resolve("key", reply=Granted(), now=NOW) == StartRun()


def test_an_answer_of_another_host_is_replayed_and_kept(table):
    begin(table, first=PEER)

    assert table.resolve("key", reply=Replay(answer=ANSWER), now=NOW) == Replay(
        answer=ANSWER
    )
    assert begin(table, first=PEER) == Replay(answer=ANSWER)


def test_an_unreachable_owner_is_asked_again_at_the_next_repeat(table):
    begin(table, first=PEER)

    assert table.resolve("key", reply=None, now=NOW) == OutcomeLost()
    assert begin(table) == AskOwner(owner=PEER)
    assert table.resolve("key", reply=Granted(), now=NOW) == StartRun()


def test_a_moved_key_is_followed_for_a_few_steps(table):
    begin(table, first=PEER)
    decisions = [
        table.resolve("key", reply=Moved(owner=THIRD), now=NOW) for _ in range(4)
    ]

    assert decisions == [AskOwner(owner=THIRD)] * 3 + [OutcomeLost()]


def test_the_outcome_of_an_earlier_incarnation_is_lost(table):
    first = KeyOwner(agent=OWN.agent, incarnation=0)

    assert begin(table, first=first) == OutcomeLost()


def test_only_an_asked_key_can_be_resolved(table):
    begin(table)

    with pytest.raises(ValueError, match="begin"):
        table.resolve("key", reply=Granted(), now=NOW)


def test_keys_outlive_the_repeat_window(table):
    begin(table)
    table.finish("key", answer=ANSWER, now=NOW)

    repeat = begin(table, now=NOW + REPEAT_WINDOW_SECONDS)

    assert repeat == Replay(answer=ANSWER)


def test_old_keys_expire_but_not_running_ones(table):
    begin(table)
    table.begin("other", fingerprint=FINGERPRINT, first=None, now=NOW)
    table.finish("other", answer=ANSWER, now=NOW)

    begin(table, now=NOW + 10_000.0)

    assert list(table.entries) == ["key"]
    assert table.answer_bytes == 0


def test_a_full_table_refuses_new_keys_instead_of_evicting():
    table = OutcomeTable(own=OWN, capacity=1)
    begin(table)
    table.finish("key", answer=ANSWER, now=NOW)

    other = table.begin("other", fingerprint=FINGERPRINT, first=None, now=NOW)
    asked = table.reply_to_asker("other", fingerprint=FINGERPRINT, asker=PEER, now=NOW)

    assert other == TableFull()
    assert asked == OutcomeLost()
    assert begin(table) == Replay(answer=ANSWER)


def test_a_large_answer_is_not_stored_but_its_run_is(table):
    begin(table)
    table.finish("key", answer=StoredAnswer(status=200, body=b"x" * 70_000), now=NOW)

    assert begin(table) == Replay(answer=None)
