"""HTTP/1.1 client of the agent's upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from attrs import define
from multidict import CIMultiDict
from yarl import URL

from daisygauge_records import Endpoint

from ._headers import DEADLINE_HEADER, drop_hop_by_hop
from ._model import (
    Answer,
    Answered,
    Body,
    NotRun,
    Outcome,
    Request,
    Shed,
    Unknown,
)

CONNECT_TIMEOUT_SECONDS = 2.0
READ_BYTES = 64 * 1024
MAX_HEADER_LINE_BYTES = 64 * 1024
MAX_SHED_BYTES = 64 * 1024
STATUS_SHED = 503
BODYLESS_STATUSES = frozenset({204, 304})


class UpstreamBrokenError(Exception):
    """The upstream closed a connection on which a request was sent."""


class DeadlinePassedError(Exception):
    """The deadline passed before the first byte was sent."""


@define(kw_only=True)
class Attempt:
    """Progress of sending one request.

    :param deadline: Unix time in seconds.
    :param now: clock that returns the Unix time in seconds.
    :param withhold_shed: True when an overload refusal is not sent to the caller.
    :ivar sent: True once a byte may have reached the upstream.
    """

    deadline: float
    now: Callable[[], float]
    withhold_shed: bool = False
    sent: bool = False


async def _check_deadline_and_mark_sent(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
) -> None:
    # The process may have been paused while it connected; a late request must not run.
    attempt: Attempt = context.trace_request_ctx
    if attempt.now() >= attempt.deadline:
        raise DeadlinePassedError
    attempt.sent = True


async def _prevent_library_retry(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    # aiohttp retries idempotent methods on these errors, outside the retry budget.
    # It doesn't retry on an exception type that it doesn't know.
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise UpstreamBrokenError(str(error)) from error


def _create_trace_config() -> aiohttp.TraceConfig:
    tracing = aiohttp.TraceConfig()
    tracing.on_connection_create_end.append(_check_deadline_and_mark_sent)
    return tracing


async def _iterate_body(body: Body) -> AsyncIterator[bytes]:
    while part := await body.read():
        yield part


def _has_body(request: Request) -> bool:
    names = {name for name, _ in request.headers}
    return request.method not in ("GET", "HEAD") or b"content-length" in names


def _is_framed(request: Request, response: aiohttp.ClientResponse) -> bool:
    # A body delimited by the end of the connection looks the same when truncated.
    if request.method == "HEAD" or response.status in BODYLESS_STATUSES:
        return True
    names = response.headers
    return "Content-Length" in names or "Transfer-Encoding" in names


class UpstreamClient:
    """Runs requests at the upstream.

    :param endpoint: address of the upstream's HTTP server.
    :param now: clock that returns the Unix time in seconds.
    """

    def __init__(self, *, endpoint: Endpoint, now: Callable[[], float]) -> None:
        self.now = now
        self.base = f"http://{endpoint.host}:{endpoint.port}"
        self.session = aiohttp.ClientSession(
            # Each request uses its own connection. On a reused connection, a late
            # duplicate of an answer would be taken for the next request's answer.
            connector=aiohttp.TCPConnector(
                limit=0, ttl_dns_cache=None, force_close=True
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            trace_configs=[_create_trace_config()],
            middlewares=(_prevent_library_retry,),
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )

    async def close(self) -> None:
        """Close every connection to the upstream."""
        await self.session.close()

    async def fetch_json(self, path: str, *, timeout_seconds: float) -> Any:
        """Fetch a JSON document from the upstream itself.

        :raises aiohttp.ClientError: the upstream gave no usable answer.
        """
        attempt = Attempt(deadline=self.now() + timeout_seconds, now=self.now)
        timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        async with self.session.get(
            self.base + path, timeout=timeout, trace_request_ctx=attempt
        ) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    async def run(
        self,
        request: Request,
        *,
        body: Body,
        answer: Answer,
        withhold_shed: bool = False,
    ) -> Outcome | Shed:
        """Run a request and stream its answer.

        Cancelling this call closes the connection to the upstream.

        :param withhold_shed: True when an overload refusal is returned instead of
            sent, because the request may be retried at a peer.
        """
        attempt = Attempt(
            deadline=request.deadline, now=self.now, withhold_shed=withhold_shed
        )
        try:
            async with asyncio.timeout(request.deadline - self.now()) as limit:
                return await self._exchange(
                    request, attempt=attempt, body=body, answer=answer, limit=limit
                )
        except (TimeoutError, DeadlinePassedError):
            if not attempt.sent:
                return NotRun(reason="deadline")
            return Unknown(reason="deadline", late=True)
        except (UpstreamBrokenError, aiohttp.ClientError, OSError) as error:
            if not attempt.sent:
                return NotRun(reason=f"upstream unreachable: {error}")
            return Unknown(reason=f"upstream broke off: {type(error).__name__}")

    async def _exchange(
        self,
        request: Request,
        *,
        attempt: Attempt,
        body: Body,
        answer: Answer,
        limit: asyncio.Timeout,
    ) -> Outcome | Shed:
        async with self.session.request(
            request.method,
            URL(self.base + request.path, encoded=True),
            headers=_request_headers(request, now=self.now()),
            data=_iterate_body(body) if _has_body(request) else None,
            allow_redirects=False,
            trace_request_ctx=attempt,
        ) as response:
            if not _is_framed(request, response):
                return Unknown(reason="upstream answer without a length")
            if request.request_class.streaming:
                limit.reschedule(None)
            headers = drop_hop_by_hop(response.raw_headers)
            if attempt.withhold_shed and response.status == STATUS_SHED:
                content = await response.content.read(MAX_SHED_BYTES)
                return Shed(status=STATUS_SHED, headers=headers, body=content)
            await answer.send_head(status=response.status, headers=headers)
            while part := await response.content.readany():
                await answer.send_body(part)
            await answer.send_end()
            return Answered(status=response.status)


def _request_headers(request: Request, *, now: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in request.headers:
        if name != DEADLINE_HEADER:
            headers.add(name.decode("latin-1"), value.decode("latin-1"))
    remaining_seconds = max(request.deadline - now, 0.0)
    headers["X-Deadline-Ms"] = str(int(remaining_seconds * 1000))
    return headers
