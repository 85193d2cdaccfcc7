"""A caller of one service, which opens another connection after GOAWAY."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable

from ._aioquic import connect_aioquic
from ._answer import AnswerReader
from ._exchange import Connection, Exchange
from ._outcome import NotRun, Outcome, Unknown
from ._qh3 import connect_qh3
from ._request import Request, Target

CONNECT_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 10.0
CLOSE_LINGER_SECONDS = 0.1


class Client(enum.Enum):
    """The HTTP/3 library of a caller."""

    AIOQUIC = "aioquic"
    QH3 = "qh3"


_CONNECT: dict[Client, Callable[..., Awaitable[Connection]]] = {
    Client.AIOQUIC: connect_aioquic,
    Client.QH3: connect_qh3,
}


class Caller:
    """Sends requests to one service without retries.

    :ivar opened: number of connections opened.
    :ivar lost: reasons of connections that ended without a preceding GOAWAY.
    """

    def __init__(
        self,
        target: Target,
        *,
        client: Client = Client.AIOQUIC,
        idle_timeout_seconds: float = IDLE_TIMEOUT_SECONDS,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        self.target = target
        self.client = client
        self.idle_timeout_seconds = idle_timeout_seconds
        self.connect_timeout_seconds = connect_timeout_seconds
        self.connections: list[Connection] = []
        self.connect_lock = asyncio.Lock()
        self.opened = 0
        self.lost: list[str] = []

    async def connect(self) -> Connection:
        """Return a usable connection for a new request; open one if there is none.

        :raises ConnectionError: the handshake failed.
        :raises TimeoutError: the handshake took too long.
        """
        async with self.connect_lock:
            self.close_drained_connections()
            for connection in self.connections:
                if connection.exchanges.usable:
                    return connection
            async with asyncio.timeout(self.connect_timeout_seconds):
                connection = await _CONNECT[self.client](
                    host=self.target.host,
                    port=self.target.port,
                    server_name=self.target.server_name,
                    ca_path=self.target.ca_path,
                    idle_timeout_seconds=self.idle_timeout_seconds,
                )
            self.opened += 1
            self.connections.append(connection)
            return connection

    def close_drained_connections(self) -> None:
        """Close unusable connections without requests in flight."""
        for connection in list(self.connections):
            exchanges = connection.exchanges
            if exchanges.usable or exchanges.open:
                continue
            if not exchanges.leaving.is_set():
                self.lost.append(exchanges.closed_reason)
            self.connections.remove(connection)
            connection.close()
            connection.release()

    async def start(self, request: Request) -> tuple[Connection, Exchange]:
        """Send a request on a usable connection.

        :raises ConnectionError: no connection could be opened.
        :raises TimeoutError: no connection could be opened in time.
        """
        connection = await self.connect()
        exchange = connection.start(request.headers(self.target), request.body)
        return connection, exchange

    def remove_exchange(self, connection: Connection, exchange: Exchange) -> None:
        """Remove an exchange from its connection, which is closed if drained."""
        connection.exchanges.open.pop(exchange.stream_id, None)
        self.close_drained_connections()

    async def request(self, request: Request) -> Outcome:
        """Send a request and wait for its outcome.

        The deadline applies to the connection setup and to the answer separately.
        """
        try:
            async with asyncio.timeout(request.deadline_seconds):
                connection, exchange = await self.start(request)
        except (ConnectionError, TimeoutError) as error:
            return NotRun(reason=f"no connection: {type(error).__name__} {error}")
        reader = AnswerReader(service=self.target.service, request=request)
        try:
            async with asyncio.timeout(request.deadline_seconds):
                return await reader.read(connection, exchange)
        except TimeoutError:
            connection.cancel(exchange)
            return Unknown(reason="deadline passed", host=connection.exchanges.host)
        except asyncio.CancelledError:
            connection.cancel(exchange)
            raise
        finally:
            self.remove_exchange(connection, exchange)

    async def close(self) -> None:
        """Close every connection."""
        for connection in self.connections:
            connection.close()
        await asyncio.sleep(CLOSE_LINGER_SECONDS)
        for connection in self.connections:
            connection.release()
        self.connections.clear()
