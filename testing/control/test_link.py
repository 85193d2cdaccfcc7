import pytest
from grpclib.exceptions import StreamTerminatedError

from daisygauge_control._link import LINK_ERRORS, send_message
from daisygauge_wire.control_pb2 import Sealed


class EndedStream:
    """A stream of grpclib 0.4.9 whose connection has just ended."""

    async def send_message(self, message):
        raise AttributeError("'Connection' object has no attribute '_transport'")


async def test_a_send_on_an_ended_connection_ends_the_link_alone():
    with pytest.raises(StreamTerminatedError) as caught:
        await send_message(EndedStream(), Sealed())

    assert isinstance(caught.value, LINK_ERRORS)
