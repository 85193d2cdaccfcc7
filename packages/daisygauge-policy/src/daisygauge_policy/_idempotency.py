"""Idempotency keys: at most one run for each key, wherever its copies arrive.

Every agent keeps a table of the keys that it has received. The agent that first
received a key owns it. An agent that receives a repeat asks the owner, and runs
the request only when the owner grants the key. By a grant the owner gives up
running the request itself.

============  ==========================================================
state         meaning
============  ==========================================================
RUNNING       this agent owns the key and may have started the request
ANSWERED      the request ran, its answer is known
NOT_RUN       this agent owns the key, the request has not run
LOST          the request may have run, its answer is unknown
ASKING        this agent waits for the reply of ``owner``
ELSEWHERE     tombstone: only ``owner`` may run the request
============  ==========================================================

An entry expires ``RETENTION_SECONDS`` after its last use, but never while it is
RUNNING or ASKING. An expired key is treated as a new one, so callers may repeat a
key for ``REPEAT_WINDOW_SECONDS`` at most. A full table refuses new keys rather
than evict entries that have not expired.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

from attrs import define, frozen

REPEAT_WINDOW_SECONDS = 600.0
# Covers a caller's last repeat, its deadline and clock differences.
RETENTION_SECONDS = 2.0 * REPEAT_WINDOW_SECONDS
TABLE_ENTRIES = 50_000
TABLE_ANSWER_BYTES = 16 * 1024 * 1024
LARGEST_ANSWER_BYTES = 64 * 1024
# A key rarely moves more than once; a longer chain ends as an unknown outcome.
LONGEST_OWNER_CHAIN = 4


@frozen(kw_only=True)
class KeyOwner:
    """An agent process that can own keys.

    :param agent: id of the agent.
    :param incarnation: incarnation of the process; grows with every restart.
    """

    agent: str
    incarnation: int


@frozen(kw_only=True)
class StoredAnswer:
    """A complete answer, kept for repeats of the request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


class KeyState(enum.Enum):
    """What an agent knows about a key; see the table of the module."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"
    ASKING = "asking"
    ELSEWHERE = "elsewhere"


@define(kw_only=True)
class KeyEntry:
    """The state of one key.

    :param fingerprint: digest of method, path and body of the request.
    :param last_used: Unix time in seconds.
    :param owner: agent that is being asked, or the only one that may run the request.
    :param owners_asked: owners asked in a row, each named by the one before.
    """

    fingerprint: bytes
    state: KeyState
    last_used: float
    owner: KeyOwner | None = None
    answer: StoredAnswer | None = None
    owners_asked: int = 0


@dataclass(frozen=True, kw_only=True)
class StartRun:
    """Run the request here and record its end in the table."""


@dataclass(frozen=True, kw_only=True)
class AskOwner:
    """Ask the owner and pass its reply to :meth:`OutcomeTable.resolve`."""

    owner: KeyOwner


@dataclass(frozen=True, kw_only=True)
class Replay:
    """The request ran already.

    :param answer: None when the answer was too large to keep.
    """

    answer: StoredAnswer | None


@dataclass(frozen=True, kw_only=True)
class InProgress:
    """Another copy of the request is in progress; try again later."""


@dataclass(frozen=True, kw_only=True)
class OtherRequest:
    """The key belongs to a different request."""


@dataclass(frozen=True, kw_only=True)
class OutcomeLost:
    """The request may have run; it will not run again."""


@dataclass(frozen=True, kw_only=True)
class TableFull:
    """The table can't store another key, so the request does not run."""


@dataclass(frozen=True, kw_only=True)
class Granted:
    """Reply: the request has not run here and never will; the asker owns the key."""


@dataclass(frozen=True, kw_only=True)
class Moved:
    """Reply: another agent owns the key."""

    owner: KeyOwner


Decision = (
    StartRun | AskOwner | Replay | InProgress | OtherRequest | OutcomeLost | TableFull
)
OwnerReply = Granted | Moved | Replay | InProgress | OtherRequest | OutcomeLost


class OutcomeTable:
    """The keys that one agent has received in its present incarnation.

    :param own: this agent with its incarnation.
    :param capacity: keys stored at most.
    :param retention_seconds: time after its last use at which a key expires.
    """

    def __init__(
        self,
        *,
        own: KeyOwner,
        capacity: int = TABLE_ENTRIES,
        retention_seconds: float = RETENTION_SECONDS,
    ) -> None:
        self.own = own
        self.capacity = capacity
        self.retention_seconds = retention_seconds
        self.entries: OrderedDict[str, KeyEntry] = OrderedDict()
        self.answer_bytes = 0

    def begin(
        self, key: str, *, fingerprint: bytes, first: KeyOwner | None, now: float
    ) -> Decision:
        """Decide on a request with a key.

        :param fingerprint: digest of method, path and body.
        :param first: agent that the caller names as the first receiver, or None.
        """
        self._expire_entries(now)
        entry = self.entries.get(key)
        if entry is None:
            return self._begin_unseen(key, fingerprint, first=first, now=now)
        if entry.fingerprint != fingerprint:
            return OtherRequest()
        self._mark_used(key, now)
        match entry.state:
            case KeyState.NOT_RUN:
                entry.state = KeyState.RUNNING
                return StartRun()
            case KeyState.ELSEWHERE:
                entry.state, entry.owners_asked = KeyState.ASKING, 1
                return AskOwner(owner=entry.owner)
        return _make_reply(entry)

    def _begin_unseen(
        self, key: str, fingerprint: bytes, *, first: KeyOwner | None, now: float
    ) -> Decision:
        is_own = first is None or first == self.own
        if not is_own and first.agent == self.own.agent:
            # The table of an earlier incarnation was lost with its process.
            return OutcomeLost()
        state = KeyState.RUNNING if is_own else KeyState.ASKING
        owner = None if is_own else first
        if not self._add(key, fingerprint, state=state, owner=owner, now=now):
            return TableFull()
        return StartRun() if is_own else AskOwner(owner=owner)

    def resolve(self, key: str, *, reply: OwnerReply | None, now: float) -> Decision:
        """Decide after the owner was asked.

        :param reply: None when the owner is unreachable or has restarted.
        :raises ValueError: no owner of the key is being asked.
        """
        entry = self.entries[key]
        if entry.state is not KeyState.ASKING:
            raise ValueError(
                f"no owner of key {key!r} is being asked; call begin() first"
            )
        self._mark_used(key, now)
        match reply:
            case Granted():
                entry.state, entry.owner = KeyState.RUNNING, None
                return StartRun()
            case Moved(owner=owner) if entry.owners_asked < LONGEST_OWNER_CHAIN:
                entry.owner = owner
                entry.owners_asked += 1
                return AskOwner(owner=owner)
            case Replay(answer=answer):
                entry.state, entry.owner = KeyState.ANSWERED, None
                self._store_answer(entry, answer)
                return reply
        entry.state = KeyState.ELSEWHERE
        if isinstance(reply, InProgress | OtherRequest):
            return reply
        return OutcomeLost()

    def finish(self, key: str, *, answer: StoredAnswer | None, now: float) -> None:
        """Record the end of a run.

        :param answer: the complete answer, or None when it was lost.
        """
        entry = self.entries[key]
        entry.state = KeyState.LOST if answer is None else KeyState.ANSWERED
        self._store_answer(entry, answer)
        self._mark_used(key, now)

    def release(self, key: str, *, now: float) -> None:
        """Record that a request was refused before it ran; a repeat may run it."""
        self.entries[key].state = KeyState.NOT_RUN
        self._mark_used(key, now)

    def reply_to_asker(
        self, key: str, *, fingerprint: bytes, asker: KeyOwner, now: float
    ) -> OwnerReply:
        """Reply to an agent that holds a repeat of a key.

        A key whose request has not run here is granted to the asker. A tombstone
        prevents a copy that arrives later from running here.
        """
        self._expire_entries(now)
        entry = self.entries.get(key)
        if entry is None:
            return self._grant_unseen(key, fingerprint, asker=asker, now=now)
        if entry.fingerprint != fingerprint:
            return OtherRequest()
        self._mark_used(key, now)
        match entry.state:
            case KeyState.NOT_RUN:
                entry.state, entry.owner = KeyState.ELSEWHERE, asker
                return Granted()
            case KeyState.ELSEWHERE if entry.owner == asker:
                # The asker asks again, so it has not received the earlier grant.
                return Granted()
            case KeyState.ELSEWHERE:
                return Moved(owner=entry.owner)
        return _make_reply(entry)

    def _grant_unseen(
        self, key: str, fingerprint: bytes, *, asker: KeyOwner, now: float
    ) -> OwnerReply:
        state = KeyState.ELSEWHERE
        if not self._add(key, fingerprint, state=state, owner=asker, now=now):
            return OutcomeLost()
        return Granted()

    def _add(
        self,
        key: str,
        fingerprint: bytes,
        *,
        state: KeyState,
        owner: KeyOwner | None,
        now: float,
    ) -> bool:
        if len(self.entries) >= self.capacity:
            return False
        self.entries[key] = KeyEntry(
            fingerprint=fingerprint,
            state=state,
            owner=owner,
            last_used=now,
            owners_asked=1,
        )
        return True

    def _mark_used(self, key: str, now: float) -> None:
        self.entries[key].last_used = now
        self.entries.move_to_end(key)

    def _store_answer(self, entry: KeyEntry, answer: StoredAnswer | None) -> None:
        if answer is None or len(answer.body) > LARGEST_ANSWER_BYTES:
            return
        if self.answer_bytes + len(answer.body) > TABLE_ANSWER_BYTES:
            return
        entry.answer = answer
        self.answer_bytes += len(answer.body)

    def _expire_entries(self, now: float) -> None:
        """Delete expired entries; the least recently used come first."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            if now - entry.last_used < self.retention_seconds:
                return
            if entry.state in (KeyState.RUNNING, KeyState.ASKING):
                self._mark_used(key, now)
                continue
            del self.entries[key]
            if entry.answer is not None:
                self.answer_bytes -= len(entry.answer.body)


def _make_reply(entry: KeyEntry) -> Replay | InProgress | OutcomeLost:
    match entry.state:
        case KeyState.ANSWERED:
            return Replay(answer=entry.answer)
        case KeyState.LOST:
            return OutcomeLost()
    return InProgress()
