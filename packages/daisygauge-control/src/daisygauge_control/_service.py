"""The server side of the control protocol: sends changes and the status."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from grpclib import GRPCError, Status
from grpclib.server import Stream

from daisygauge_records import Instance
from daisygauge_wire.control_grpc import ControlBase
from daisygauge_wire.control_pb2 import (
    Delta,
    FollowRequest,
    Sealed,
    StatusAnswer,
    StatusRequest,
)

from ._member import is_wanted
from ._messages import encode_instance, read_member, select_missing, split_documents
from ._node import Follower, Node
from ._sealing import UnreadableMessageError, open_sealed, seal, sealed_size
from ._watchers import select_instances

HEARTBEAT_SECONDS = 5.0
COALESCE_SECONDS = 0.02
"""Time for which changes are collected into one message."""
SILENT_FOLLOWER_SECONDS = 45.0

FollowStream = Stream[Sealed, Sealed]
Instances = dict[str, Instance]
AnswerStatus = Callable[[StatusRequest], Awaitable[StatusAnswer]]


class ControlService(ControlBase):
    """Serves the control calls of other daemons."""

    def __init__(self, *, node: Node, answer_status: AnswerStatus) -> None:
        self.node = node
        self.answer_status = answer_status

    async def Follow(self, stream: FollowStream) -> None:
        """Send changes to a follower until it disconnects."""
        try:
            request = await receive_request(stream, node=self.node)
            follower = Follower(member=read_member(request.hello))
        except UnreadableMessageError as error:
            raise GRPCError(Status.UNAUTHENTICATED, str(error)) from None
        followers = self.node.followers
        followers[follower.member.id] = follower
        try:
            await _serve_follower(
                FollowerStream(
                    stream=stream, follower=follower, node=self.node, request=request
                )
            )
        finally:
            if followers.get(follower.member.id) is follower:
                del followers[follower.member.id]

    async def Status(self, stream: FollowStream) -> None:
        """Return the configuration status of the fleet."""
        node = self.node
        try:
            sealed = await stream.recv_message()
            request = open_sealed(
                sealed or Sealed(), StatusRequest, keys=node.keys, now=node.clock()
            )
        except UnreadableMessageError as error:
            raise GRPCError(Status.UNAUTHENTICATED, str(error)) from None
        answer = seal(
            await self.answer_status(request), keys=node.keys, now=node.clock()
        )
        await node.budget.wait_to_send(sealed_size(answer), is_sync=True)
        await stream.send_message(answer)


async def receive_request(stream: FollowStream, *, node: Node) -> FollowRequest:
    """Receive one message from a follower.

    :raises UnreadableMessageError: if no key in force opens the message, or if the
        stream has ended.
    """
    sealed = await stream.recv_message()
    if sealed is None:
        raise UnreadableMessageError("the stream has ended")
    node.budget.record_received(sealed_size(sealed))
    return open_sealed(sealed, FollowRequest, keys=node.keys, now=node.clock())


async def _serve_follower(serving: FollowerStream) -> None:
    """Send changes and receive reports until either ends."""
    tasks = {
        asyncio.create_task(serving.send_changes()),
        asyncio.create_task(serving.receive_reports()),
    }
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class FollowerStream:
    """The stream of changes to one follower.

    :param request: first message of the follower.
    :ivar sent_instances: instance list as it was last sent to the follower.
    :ivar sequence: number of the latest change that was sent to the follower.
    """

    def __init__(
        self,
        *,
        stream: FollowStream,
        follower: Follower,
        node: Node,
        request: FollowRequest,
    ) -> None:
        self.stream = stream
        self.follower = follower
        self.node = node
        self.request = request
        self.sent_instances: Instances = {}
        self.sequence = node.state.change_log.sequence
        self._selection_inputs: tuple[object, object] = (None, None)
        self._reported_ready = False

    async def receive_reports(self) -> None:
        """Receive reports until the follower disconnects or is silent for too long."""
        while True:
            try:
                async with asyncio.timeout(SILENT_FOLLOWER_SECONDS):
                    request = await receive_request(self.stream, node=self.node)
            except (TimeoutError, UnreadableMessageError):
                return
            self.follower.report = request.report
            self.node.update_behind_since(self.follower, now=time.monotonic())

    async def send_changes(self) -> None:
        """Send the records that the follower lacks, then every change."""
        missing = select_missing(self.request.hello, self.node.state)
        await self._send(missing, is_sync=True)
        while True:
            await self._wait_for_changes()
            self.node.update_behind_since(self.follower, now=time.monotonic())
            await self._send(self._changes_to_send(), is_sync=False)

    async def _wait_for_changes(self) -> None:
        """Wait for changes, or until a heartbeat is due."""
        loop = asyncio.get_running_loop()
        end = loop.time() + HEARTBEAT_SECONDS
        while loop.time() < end:
            if self._has_changes():
                await asyncio.sleep(COALESCE_SECONDS)
                return
            await self.node.changed.wait(seconds=end - loop.time())

    def _has_changes(self) -> bool:
        state = self.node.state
        return (
            self.sequence != state.change_log.sequence
            or self._selection_inputs[0] is not state.view.instances
            or self._reported_ready != self.node.is_ready()
        )

    def _changes_to_send(self) -> list[bytes]:
        state = self.node.state
        changes = state.change_log.changes_after(self.sequence)
        if changes is None:
            raise GRPCError(Status.ABORTED, "too many changes at once; follow again")
        self.sequence = state.change_log.sequence
        service = self.follower.member.service
        wanted = {
            change.id
            for change in changes
            if any(is_wanted(group, service=service) for group in change.groups)
        }
        return [state.store.records[id].document for id in sorted(wanted)]

    async def _send(self, documents: list[bytes], *, is_sync: bool) -> None:
        for delta in split_documents(documents):
            if not delta.partial:
                self._add_instances(delta)
                report = self.node.report(service=self.follower.member.service)
                self._reported_ready = report.ready
                delta.report.CopyFrom(report)
            sealed = seal(delta, keys=self.node.keys, now=self.node.clock())
            await self.node.budget.wait_to_send(sealed_size(sealed), is_sync=is_sync)
            await self.stream.send_message(sealed)

    def _add_instances(self, delta: Delta) -> None:
        view = self.node.state.view
        inputs = (view.instances, view.upstreams)
        if all(
            old is new for old, new in zip(self._selection_inputs, inputs, strict=True)
        ):
            return
        self._selection_inputs = inputs
        member = self.follower.member
        upstreams = view.upstreams.get(member.service, ())
        current = select_instances(
            view.instances,
            member=member,
            upstreams=[upstream.id for upstream in upstreams],
        )
        sent, self.sent_instances = self.sent_instances, current
        for id, instance in current.items():
            if sent.get(id) != instance:
                delta.instances.append(encode_instance(instance))
        delta.gone.extend(id for id in sent if id not in current)
