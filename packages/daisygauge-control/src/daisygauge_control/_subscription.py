"""The client side of the control protocol: a subscription to one peer."""

from __future__ import annotations

import asyncio

from grpclib import GRPCError
from grpclib.client import Channel, Stream
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from daisygauge_records import Instance
from daisygauge_wire.control_grpc import ControlStub
from daisygauge_wire.control_pb2 import Delta, FollowRequest, Report, Sealed

from ._credentials import NoKeyError, authenticate_channel
from ._messages import decode_instances, make_hello
from ._node import Node
from ._sealing import UnreadableMessageError, open_sealed, seal, sealed_size

FIRST_ANSWER_SECONDS = 3.0
SILENT_PEER_SECONDS = 12.0
"""Time without a message after which a peer counts as failed.

It covers more than two heartbeats. It is also how long followers of a frozen peer may
have to wait for a change.
"""
REPORT_SECONDS = 15.0
RESYNC_SECONDS = 60.0
"""Time for which digests may differ before the subscription is started anew."""

SUBSCRIPTION_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    UnreadableMessageError,
    NoKeyError,
)

SubscriptionStream = Stream[Sealed, Sealed]


class Subscription:
    """Receives the changes of one peer until the peer fails.

    :ivar answered: True once the peer has sent everything that this daemon lacked.
    :ivar peer_ready: True if the peer reports that its configuration is complete.
    :ivar instances: the instance list as the peer knows it.
    """

    def __init__(self, *, peer: Instance, node: Node) -> None:
        self.peer = peer
        self.node = node
        self.answered = False
        self.peer_ready = False
        self.instances: dict[str, Instance] | None = None
        self._differs_since: float | None = None
        self._reported = Report()

    async def run(self) -> None:
        """Follow the peer.

        :raises SUBSCRIPTION_ERRORS: if the peer can no longer be followed.
        """
        channel = open_channel(self.peer, node=self.node)
        try:
            async with ControlStub(channel).Follow.open() as stream:
                await self._follow(stream)
        finally:
            channel.close()

    async def _follow(self, stream: SubscriptionStream) -> None:
        hello = make_hello(self.node.member, self.node.state)
        async with asyncio.timeout(FIRST_ANSWER_SECONDS):
            await self._send(stream, FollowRequest(hello=hello))
            await self._receive(stream)
        reporting = asyncio.create_task(self._report(stream))
        try:
            while not self._needs_resync():
                async with asyncio.timeout(SILENT_PEER_SECONDS):
                    await self._receive(stream)
        finally:
            reporting.cancel()
            await asyncio.gather(reporting, return_exceptions=True)

    async def _send(self, stream: SubscriptionStream, request: FollowRequest) -> None:
        node = self.node
        sealed = seal(request, keys=node.keys, now=node.clock())
        await node.budget.wait_to_send(sealed_size(sealed), is_sync=False)
        await send_message(stream, sealed)

    async def _receive(self, stream: SubscriptionStream) -> None:
        sealed = await stream.recv_message()
        if sealed is None:
            raise StreamTerminatedError("the peer closed the stream")
        node = self.node
        node.budget.record_received(sealed_size(sealed))
        self._handle_delta(open_sealed(sealed, Delta, keys=node.keys, now=node.clock()))

    def _handle_delta(self, delta: Delta) -> None:
        state = self.node.state
        state.apply_documents(delta.documents)
        if delta.instances or delta.gone or self.instances is None:
            self._merge_instances(delta)
        if delta.partial:
            return
        self.answered = True
        self.peer_ready = delta.report.ready
        own = state.change_log.summarize(service=self.node.member.service)
        self._record_difference(own.digest != delta.report.digest)
        self.node.changed.notify()

    def _merge_instances(self, delta: Delta) -> None:
        """Merge changes of the instance list.

        Entries that are already in the view are shared, which saves memory.
        """
        known = self.node.state.view.instances
        changed = {
            id: known[id] if known.get(id) == entry else entry
            for id, entry in decode_instances(delta.instances).items()
        }
        gone = frozenset(delta.gone)
        kept = {
            id: entry for id, entry in (self.instances or {}).items() if id not in gone
        }
        self.instances = kept | changed

    def _record_difference(self, differs: bool) -> None:
        if not differs:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = asyncio.get_running_loop().time()

    def _needs_resync(self) -> bool:
        """Return whether changes were lost, so that digests must be compared anew."""
        if self._differs_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now - self._differs_since > RESYNC_SECONDS

    async def _report(self, stream: SubscriptionStream) -> None:
        while True:
            report = self.node.report(service=self.node.member.service)
            await self._send(stream, FollowRequest(report=report))
            await self._wait_for_changes(report)

    async def _wait_for_changes(self, sent: Report) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + REPORT_SECONDS
        while loop.time() < end:
            if self.node.report(service=self.node.member.service) != sent:
                return
            await self.node.changed.wait(seconds=end - loop.time())


async def send_message(stream: SubscriptionStream, sealed: Sealed) -> None:
    """Send a message on a stream whose connection may have just closed.

    grpclib 0.4.9 deletes the transport of a closed connection. A send that begins
    afterwards raises an ``AttributeError``.

    :raises StreamTerminatedError: if the connection is closed.
    """
    try:
        await stream.send_message(sealed)
    except AttributeError as error:
        raise StreamTerminatedError("the connection is closed") from error


def open_channel(peer: Instance, *, node: Node) -> Channel:
    """Open a channel to a peer that signs every call."""
    channel = Channel(host=peer.inner.host, port=peer.peer_port)
    authenticate_channel(
        channel,
        sender=node.member.id,
        receiver=peer.id,
        keys=lambda: node.keys,
        clock=node.clock,
    )
    return channel
