"""At most one run for each key, in thousands of random interleavings."""

from attrs import define, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from daisygauge_policy import (
    AskOwner,
    KeyOwner,
    OutcomeTable,
    Replay,
    StartRun,
    StoredAnswer,
)

AGENTS = ("host-0", "host-1", "host-2")
FINGERPRINT = b"POST /orders"
KEY = "key"


@define(eq=False)
class Attempt:
    """A copy of the request at one host, with the owner that it is asking."""

    host: KeyOwner
    asked_owner: KeyOwner | None = None
    may_run: bool = False


@define(eq=False)
class Message:
    """A question to an owner, or its reply, in transit."""

    attempt: Attempt
    owner: KeyOwner
    reply: object = None
    is_reply: bool = False


@define
class World:
    """All hosts, the messages in transit between them, and the runs counted."""

    tables: dict[str, OutcomeTable] = field(factory=dict)
    attempts: list[Attempt] = field(factory=list)
    messages: list[Message] = field(factory=list)
    frozen: set[str] = field(factory=set)
    runs: int = 0
    failures: int = 0
    now: float = 1_000.0

    def start(self, agent, incarnation):
        own = KeyOwner(agent=agent, incarnation=incarnation)
        self.tables[agent] = OutcomeTable(own=own)

    def table(self, owner):
        table = self.tables[owner.agent]
        return table if table.own == owner else None

    def arrive(self, agent, first):
        table = self.tables[agent]
        attempt = Attempt(host=table.own)
        decision = table.begin(KEY, fingerprint=FINGERPRINT, first=first, now=self.now)
        self.apply(attempt, decision)
        return decision

    def apply(self, attempt, decision):
        attempt.asked_owner = None
        match decision:
            case StartRun():
                attempt.may_run = True
                self.attempts.append(attempt)
            case AskOwner(owner=owner):
                attempt.asked_owner = owner
                self.attempts.append(attempt)
                self.messages.append(Message(attempt, owner))
        return decision

    def process(self, message):
        if not message.is_reply:
            table = self.table(message.owner)
            message.reply = table and table.reply_to_asker(
                KEY, fingerprint=FINGERPRINT, asker=message.attempt.host, now=self.now
            )
            message.is_reply = True
            self.messages.append(message)
            return None
        is_awaited = message.attempt in self.attempts
        if not is_awaited or message.attempt.asked_owner != message.owner:
            return None
        return self.resolve(message.attempt, message.reply)

    def resolve(self, attempt, reply):
        self.attempts.remove(attempt)
        table = self.table(attempt.host)
        if table is None:
            return None
        decision = table.resolve(KEY, reply=reply, now=self.now)
        successor = Attempt(host=attempt.host)
        attempt.asked_owner = None
        return self.apply(successor, decision)

    def finish(self, attempt, outcome):
        self.attempts.remove(attempt)
        table = self.table(attempt.host)
        if outcome == "refused":
            table.release(KEY, now=self.now)
            return
        self.runs += 1
        answer = StoredAnswer(status=201) if outcome == "whole" else None
        self.failures += answer is None
        table.finish(KEY, answer=answer, now=self.now)

    def restart(self, agent):
        table = self.tables[agent]
        self.attempts = [entry for entry in self.attempts if entry.host != table.own]
        self.failures += 1
        self.frozen.discard(agent)
        self.start(agent, table.own.incarnation + 1)

    def is_responsive(self, owner):
        return owner.agent not in self.frozen

    def run_to_end(self):
        """Deliver every message and end every attempt, without losses."""
        self.frozen.clear()
        while self.messages or self.attempts:
            while self.messages:
                self.process(self.messages.pop(0))
            for attempt in list(self.attempts):
                if attempt.may_run:
                    self.finish(attempt, "whole")


class Reorderings(RuleBasedStateMachine):
    """Copies, repeats and duplicated messages in any order, without failures."""

    @initialize()
    def first_attempt(self):
        self.world = World()
        for agent in AGENTS:
            self.world.start(agent, 1)
        self.first = self.world.tables["host-0"].own

    @rule()
    def a_copy_on_the_first_connection_arrives(self):
        # The connection IDs of a connection name the host's incarnation.
        if self.world.table(self.first) and self.world.is_responsive(self.first):
            self.world.arrive(self.first.agent, None)

    @rule(agent=st.sampled_from(AGENTS))
    def a_repeat_arrives(self, agent):
        if agent not in self.world.frozen:
            self.world.arrive(agent, self.first)

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data(), is_duplicated=st.booleans())
    def a_message_arrives(self, data, is_duplicated):
        message = data.draw(st.sampled_from(self.world.messages))
        receiver = message.attempt.host if message.is_reply else message.owner
        if not self.world.is_responsive(receiver):
            return
        self.world.messages.remove(message)
        if is_duplicated and not message.is_reply:
            self.world.messages.append(Message(message.attempt, message.owner))
        self.world.process(message)

    @precondition(lambda self: any(entry.may_run for entry in self.world.attempts))
    @rule(data=st.data(), outcome=st.sampled_from(["whole", "refused"]))
    def an_attempt_ends(self, data, outcome):
        runnable = [entry for entry in self.world.attempts if entry.may_run]
        attempt = data.draw(st.sampled_from(runnable))
        if self.world.is_responsive(attempt.host):
            self.world.finish(attempt, outcome)

    @rule(seconds=st.floats(0.0, 10.0))
    def time_passes(self, seconds):
        self.world.now += seconds

    @invariant()
    def it_ran_at_most_once(self):
        assert getattr(self, "world", None) is None or self.world.runs <= 1

    def teardown(self):
        world = getattr(self, "world", None)
        if world is None:
            return
        for attempt in [entry for entry in world.attempts if entry.asked_owner]:
            world.resolve(attempt, None)
        world.messages.clear()
        world.run_to_end()
        assert world.runs <= 1
        if world.failures == 0:
            self.check_availability(world)

    def check_availability(self, world):
        """Check that repeats are answered when no host and no answer was lost.

        After a lost grant, other hosts can't get the key until its receiver asks
        again, so one repeat goes to every host first.
        """
        for agent in AGENTS:
            world.arrive(agent, self.first)
            world.run_to_end()

        assert world.runs == 1
        for agent in AGENTS:
            world.arrive(agent, self.first)
            world.run_to_end()

            assert isinstance(world.arrive(agent, self.first), Replay)


class Failures(Reorderings):
    """Adds lost messages, lost answers, and hosts that freeze or are replaced."""

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data())
    def a_message_is_lost(self, data):
        self.world.messages.remove(data.draw(st.sampled_from(self.world.messages)))

    @precondition(lambda self: any(entry.asked_owner for entry in self.world.attempts))
    @rule(data=st.data())
    def a_question_times_out(self, data):
        asking = [entry for entry in self.world.attempts if entry.asked_owner]
        attempt = data.draw(st.sampled_from(asking))
        if self.world.is_responsive(attempt.host):
            self.world.resolve(attempt, None)

    @rule(agent=st.sampled_from(AGENTS))
    def a_host_freezes_or_resumes(self, agent):
        self.world.frozen ^= {agent}

    @rule(agent=st.sampled_from(AGENTS))
    def a_host_is_replaced(self, agent):
        self.world.restart(agent)

    @precondition(lambda self: any(entry.may_run for entry in self.world.attempts))
    @rule()
    def an_answer_is_lost(self):
        runnable = [entry for entry in self.world.attempts if entry.may_run]
        if self.world.is_responsive(runnable[0].host):
            self.world.finish(runnable[0], "lost")


SETTINGS = settings(
    max_examples=1_000, stateful_step_count=25, deadline=None, derandomize=True
)
TestReorderings = Reorderings.TestCase
TestReorderings.settings = SETTINGS
TestFailures = Failures.TestCase
TestFailures.settings = SETTINGS
