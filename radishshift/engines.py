"""Clients of model engines and of plain services."""

import asyncio
import math
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec
import yarl
from aiohttp.connector import Connection

from radishshift.clocks import Clock, SystemClock
from radishshift.endpoints import Endpoint
from radishshift.errors import (
    AnswerTooLargeError,
    BadRequestError,
    DeadlineError,
    EndpointCrashedError,
    EndpointError,
    ResumeRefusedError,
    StreamBrokenError,
    StreamStalledError,
)
from radishshift.pump import StreamPump
from radishshift.requests import ModelRequest, ServiceCall, prefix_digest
from radishshift.verdicts import Verdict

__all__ = [
    "EngineClient",
    "EngineStream",
    "HttpEngineClient",
    "ServiceReply",
    "open_engine_client",
]

NOT_RUN = Verdict.NOT_RUN
NOT_STARTED_STATUSES = frozenset({404, 429, 503})
REFUSED_STATUSES = frozenset({400, 413, 422})
RESUME_REFUSED_STATUSES = frozenset({400, 404, 405, 409, 410})
ERROR_BYTES_MAX = 4096
ANSWER_BYTES_MAX = 4_000_000
CANCEL_S = 2.0
END_S = 0.05
RECEIVE_BYTES = 16_384
CONNECT_MARGIN_S = 0.02
CONNECT_S_MIN = 0.001


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """What a plain service answered."""

    status: int
    content_type: str
    body: bytes


class EngineStream:
    """The answer of one attempt as it comes in."""

    status: int = 200
    content_type: str = ""

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end.

        Raises
        ------
        StreamBrokenError
            The connection broke, was idle for too long, or ended too soon.
        """
        raise NotImplementedError

    async def forward(self, take: Callable[[bytes], bool]) -> None:
        """Hand on the bytes as they come, until the end or until `take` says False.

        Raises
        ------
        StreamBrokenError
        """
        while data := await self.read():
            if not take(data):
                return

    async def finish(self) -> None:
        """Let the connection come to its end, if it is quick to do so."""


class EngineClient:
    """What a host may ask of endpoints.

    Whoever opens a stream sees to it that it ends by the request's deadline.
    """

    def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ):
        """Return a context manager that starts an attempt and gives its stream.

        The stream is one of events, also for a caller that wants a whole answer,
        and each event's id ends with `attempt_id`.
        """
        raise NotImplementedError

    def resume(self, endpoint: Endpoint, attempt_id: str, events: int):
        """Return a context manager that goes on with a stream from an offset.

        It raises `ResumeRefusedError` if the endpoint does not have the stream.
        """
        raise NotImplementedError

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint that no one waits for an attempt any more."""
        raise NotImplementedError

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a plain service.

        Raises
        ------
        EndpointError
        DeadlineError
        """
        raise NotImplementedError


class _HttpStream(EngineStream):
    def __init__(
        self, resp: aiohttp.ClientResponse, idle_s: float, pump: StreamPump
    ) -> None:
        self.status = resp.status
        self.content_type = resp.content_type
        self._resp = resp
        self._idle_s = idle_s
        self._pump = pump
        _read_small(resp.connection)

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end."""
        parts: list[bytes] = []
        await self.forward(lambda data: bool(parts.append(data)))
        return b"".join(parts)

    async def forward(self, take: Callable[[bytes], bool]) -> None:
        """Hand on the bytes as they come."""
        try:
            await self._pump.forward(self._resp.content, self._idle_s, take)
        except (aiohttp.ClientError, OSError) as exc:
            raise StreamBrokenError(f"the stream broke: {exc}") from exc

    async def finish(self) -> None:
        """Read up to the end, so that the connection can be used again."""
        try:
            async with asyncio.timeout(END_S):
                await self._resp.content.readany()
        except (aiohttp.ClientError, OSError):
            return


def _read_small(conn: Connection | None) -> None:
    """Receive into small buffers: events are short, and a large one costs a mapping.

    The event loop's own size is 256 KiB, which the C library maps and unmaps for
    each read of a few bytes.
    """
    if conn is not None and hasattr(conn.transport, "max_size"):
        conn.transport.max_size = RECEIVE_BYTES


class _LostReplyError(aiohttp.ClientError):
    """A connection broke after a call may have been sent."""


async def _never_resend(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client from sending PUT and DELETE calls again by itself."""
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _LostReplyError(str(exc)) from exc


class HttpEngineClient(EngineClient):
    """Endpoints spoken to over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
    connect_s, idle_s : float
        Longest waits for a connection and for the next bytes, in seconds.
    clock : Clock, optional
    once_session : aiohttp.ClientSession, optional
        For calls that may run at most once; it keeps no connections, so that none
        of them meets one that the endpoint is just closing.
    answer_bytes : int
        Bound on the answer of a plain service.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        connect_s: float,
        idle_s: float,
        clock: Clock | None = None,
        once_session: aiohttp.ClientSession | None = None,
        answer_bytes: int = ANSWER_BYTES_MAX,
    ) -> None:
        self._session = session
        self._once_session = once_session or session
        self._connect_s = connect_s
        self._idle_s = idle_s
        self._clock = clock or SystemClock()
        self._answer_bytes = answer_bytes
        self._pump = StreamPump()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the connections to endpoints, for what is not a request."""
        return self._session

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and give its stream."""
        body = dict(req.body)
        body["model"] = version
        body["priority"] = req.task_class.priority
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        async with self._send(
            self._session,
            "POST",
            f"{endpoint.address}/v1/{req.operation}",
            req.deadline,
            headers_s=self._idle_s,
            headers={
                "X-Request-Id": attempt_id,
                "X-Prefix-Digest": f"{prefix_digest(req.body_bytes):016x}",
                "Content-Type": "application/json",
            },
            data=msgspec.json.encode(body),
        ) as resp:
            await self._check(resp)
            yield _HttpStream(resp, self._idle_s, self._pump)

    @asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, attempt_id: str, events: int
    ) -> AsyncIterator[EngineStream]:
        """Go on with a stream from an offset."""
        async with self._send(
            self._session,
            "GET",
            f"{endpoint.address}/v1/streams/{attempt_id}",
            math.inf,
            headers_s=self._idle_s,
            params={"from_event": str(events)},
        ) as resp:
            if resp.status in RESUME_REFUSED_STATUSES:
                raise ResumeRefusedError("the endpoint does not have the stream")
            if resp.status != 200:
                raise StreamBrokenError(f"the endpoint answered {resp.status}")
            yield _HttpStream(resp, self._idle_s, self._pump)

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint that no one waits for an attempt any more."""
        url = f"{endpoint.address}/v1/streams/{attempt_id}"
        try:
            async with asyncio.timeout(CANCEL_S):
                async with self._session.delete(url, allow_redirects=False):
                    pass
        except (aiohttp.ClientError, OSError):
            return

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Run a call of a plain service."""
        headers = dict(call.headers)
        headers["Idempotency-Key"] = call.idempotency_key
        headers["X-Request-Id"] = call.request_id
        session = self._session if call.idempotent else self._once_session
        try:
            async with asyncio.timeout(call.deadline - self._clock.now()):
                async with self._send(
                    session,
                    call.method,
                    yarl.URL(endpoint.address + call.path, encoded=True),
                    call.deadline,
                    headers=headers,
                    data=call.body,
                ) as resp:
                    if resp.status in {429, 503}:
                        raise EndpointError("the endpoint is full", verdict=NOT_RUN)
                    body = await self._read_bounded(resp)
                    return ServiceReply(resp.status, resp.content_type, body)
        except TimeoutError as exc:
            raise DeadlineError("the service did not answer in time") from exc

    async def _read_bounded(self, resp: aiohttp.ClientResponse) -> bytes:
        body = bytearray()
        async for part in resp.content.iter_any():
            body += part
            if len(body) > self._answer_bytes:
                raise AnswerTooLargeError("the service's answer is too large")
        return bytes(body)

    @asynccontextmanager
    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str | yarl.URL,
        deadline: float,
        headers_s: float | None = None,
        **kwargs,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineError("the deadline has passed", verdict=NOT_RUN)
        # The wait for a connection ends first, so that its verdict is known.
        connect_s = min(self._connect_s, remaining_s - CONNECT_MARGIN_S)
        timeout = aiohttp.ClientTimeout(
            total=None, connect=max(CONNECT_S_MIN, connect_s)
        )
        try:
            async with asyncio.timeout(headers_s):
                resp = await session.request(
                    method,
                    url,
                    timeout=timeout,
                    allow_redirects=False,
                    middlewares=(_never_resend,),
                    **kwargs,
                )
            async with resp:
                yield resp
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise EndpointError(f"no connection: {exc}", verdict=NOT_RUN) from exc
        except aiohttp.ClientError as exc:
            raise EndpointCrashedError(f"the connection broke: {exc}") from exc
        except TimeoutError as exc:
            raise StreamStalledError("the endpoint is silent") from exc
        except OSError as exc:
            raise EndpointCrashedError(f"the connection broke: {exc}") from exc

    async def _check(self, resp: aiohttp.ClientResponse) -> None:
        if resp.status == 200:
            return
        if resp.status in NOT_STARTED_STATUSES:
            raise EndpointError("the endpoint takes no work", verdict=NOT_RUN)
        if resp.status in REFUSED_STATUSES:
            raise BadRequestError(await _refusal(resp))
        raise EndpointError(f"the endpoint answered {resp.status}")


async def _refusal(resp: aiohttp.ClientResponse) -> str:
    """Return why an endpoint refused a request, in its own words."""
    data = await resp.content.read(ERROR_BYTES_MAX)
    try:
        message = msgspec.json.decode(data)["error"]["message"]
    except (msgspec.DecodeError, UnicodeDecodeError, LookupError, TypeError):
        message = None
    if isinstance(message, str) and message:
        return message
    return f"the endpoint refused the request with {resp.status}"


@asynccontextmanager
async def open_engine_client(
    clock: Clock,
    connect_s: float,
    idle_s: float,
    answer_bytes: int,
    ssl_context: ssl.SSLContext | bool = True,
) -> AsyncIterator[HttpEngineClient]:
    """Give a client of endpoints with connections of its own."""
    kept = aiohttp.TCPConnector(limit=0, ssl=ssl_context)
    once = aiohttp.TCPConnector(limit=0, force_close=True, ssl=ssl_context)
    async with (
        aiohttp.ClientSession(
            connector=kept, cookie_jar=aiohttp.DummyCookieJar()
        ) as session,
        aiohttp.ClientSession(
            connector=once, cookie_jar=aiohttp.DummyCookieJar()
        ) as once_session,
    ):
        yield HttpEngineClient(
            session, connect_s, idle_s, clock, once_session, answer_bytes
        )
