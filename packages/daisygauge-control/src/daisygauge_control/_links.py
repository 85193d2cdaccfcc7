"""The set of peers that a daemon follows."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from daisygauge_records import Instance

from ._events import Observe, PeerLost
from ._link import LINK_ERRORS, Link
from ._node import Node
from ._suspicions import Suspicions


class Links:
    """Starts and ends links as the plan says, and suspects peers that fail.

    :ivar links: links by the peer's id, most preferred first.
    """

    def __init__(self, *, node: Node, suspicions: Suspicions, observe: Observe) -> None:
        self.node = node
        self.suspicions = suspicions
        self.observe = observe
        self.links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._failure: Exception | None = None

    def set_peers(self, peers: Iterable[Instance]) -> None:
        """Follow exactly these peers.

        :raises BaseException: what has ended a link unexpectedly.
        """
        if self._failure is not None:
            raise self._failure
        wanted = {peer.id: peer for peer in peers}
        for id in [
            id for id, link in self.links.items() if wanted.get(id) != link.peer
        ]:
            self._end(id)
        links = {id: self.links.get(id) or self._start(wanted[id]) for id in wanted}
        self.links = links

    def _start(self, peer: Instance) -> Link:
        link = Link(peer=peer, node=self.node)
        self._tasks[peer.id] = asyncio.create_task(self._run(link))
        return link

    def _end(self, id: str) -> None:
        self._tasks.pop(id).cancel()
        del self.links[id]

    async def _run(self, link: Link) -> None:
        id = link.peer.id
        try:
            await link.run()
        except LINK_ERRORS as error:
            self.suspicions.note_failure(id, now=asyncio.get_running_loop().time())
            reason = str(error) or type(error).__name__
            self.observe(PeerLost(peer=id, reason=reason))
        except Exception as error:
            self._failure = error
        if self.links.get(id) is link:
            del self.links[id]
            del self._tasks[id]
        self.node.changed.notify()

    def confirm_peers(self) -> None:
        """Trust the peers that answer."""
        for id, link in self.links.items():
            if link.answered:
                self.suspicions.note_success(id)

    async def close(self) -> None:
        """End every link."""
        tasks = tuple(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
