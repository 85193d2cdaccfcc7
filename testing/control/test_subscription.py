import pytest
from grpclib.exceptions import StreamTerminatedError

from daisygauge_control._subscription import SUBSCRIPTION_ERRORS, send_message
from daisygauge_wire.control_pb2 import Sealed


class ClosedStream:
    """A stream of grpclib 0.4.9 whose connection has just closed."""

    async def send_message(self, message):
        raise AttributeError("'Connection' object has no attribute '_transport'")


async def test_a_send_on_a_closed_connection_ends_only_the_subscription():
    with pytest.raises(StreamTerminatedError) as caught:
        await send_message(ClosedStream(), Sealed())

    assert isinstance(caught.value, SUBSCRIPTION_ERRORS)
