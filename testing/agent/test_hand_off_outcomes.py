"""A peer's outcome of a handed-off request arrives as the peer meant it."""

import pytest

from daisygauge_daemon._agent._model import NotRun, Unknown
from daisygauge_daemon._agent._peer_calls import HandOffCall
from daisygauge_daemon._agent._peer_server import PeerAnswer


class Pipe:
    """The stream of one call: what one side sends the other receives."""

    def __init__(self):
        self.messages = []

    async def send_message(self, message):
        self.messages.append(message)

    async def recv_message(self):
        return self.messages.pop(0)


@pytest.mark.parametrize(
    "outcome",
    [
        Unknown(reason="deadline", late=True),
        Unknown(reason="upstream broke off", late=False),
        NotRun(reason="full", retry_after=2),
    ],
)
async def test_an_outcome_without_an_answer_is_passed_on_unchanged(outcome):
    pipe = Pipe()
    await PeerAnswer(pipe).finish(outcome)

    assert await HandOffCall(answer=None).receive(pipe) == outcome
