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
from radishshift.engine_connections import EngineRequest, engine_connector
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
from radishshift.http_client import checked_connector
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
NOT_RUN_STATUSES = frozenset({404, 429, 503})
REJECTED_STATUSES = frozenset({400, 413, 422})
RESUME_REFUSED_STATUSES = frozenset({400, 404, 405, 409, 410})
ERROR_BODY_MAX_BYTES = 4096
ANSWER_MAX_BYTES = 4_000_000
CANCEL_TIMEOUT_S = 2.0
FINISH_TIMEOUT_S = 0.05
RECEIVE_BUFFER_BYTES = 16_384
CONNECT_TIMEOUT_MARGIN_S = 0.02
CONNECT_TIMEOUT_MIN_S = 0.001


@dataclass(frozen=True, slots=True)
class ServiceReply:
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


class EngineStream:
    """The response stream of one attempt."""

    status: int = 200
    content_type: str = ""

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end of the stream.

        Raises
        ------
        StreamBrokenError
            The connection failed, was idle for too long, or ended too early.
        """
        raise NotImplementedError

    async def forward(self, consume: Callable[[bytes], bool]) -> None:
        """Pass received bytes to `consume` until it returns False or the stream ends.

        Raises
        ------
        StreamBrokenError
        """
        while data := await self.read():
            if not consume(data):
                return

    async def finish(self) -> None:
        """Wait briefly for the response to end, so that its connection is reusable."""


class EngineClient:
    """Calls from a host to endpoints.

    The caller of `open` or `resume` enforces the request's deadline on the stream.
    """

    def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ):
        """Return a context manager that starts an attempt and yields its stream.

        The endpoint always streams events, also for a caller that wants a complete
        answer, and each event's id ends with `attempt_id`.
        """
        raise NotImplementedError

    def resume(self, endpoint: Endpoint, attempt_id: str, events: int):
        """Return a context manager that resumes a stream after a number of events.

        It raises `ResumeRefusedError` if the endpoint does not have the stream.
        """
        raise NotImplementedError

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint to stop an attempt that is no longer needed."""
        raise NotImplementedError

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Call a plain service.

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
        _limit_receive_buffer(resp.connection)

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end of the stream."""
        parts: list[bytes] = []
        # `append` returns None, so that `forward` stops after the first batch.
        await self.forward(lambda data: bool(parts.append(data)))
        return b"".join(parts)

    async def forward(self, consume: Callable[[bytes], bool]) -> None:
        """Pass received bytes to `consume`."""
        try:
            await self._pump.forward(self._resp.content, self._idle_s, consume)
        except (aiohttp.ClientError, OSError) as exc:
            raise StreamBrokenError(
                f"the connection of the stream failed: {exc}"
            ) from exc

    async def finish(self) -> None:
        """Read once more, so that the connection can be reused.

        This normally reads the end of the body.
        """
        try:
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                await self._resp.content.readany()
        except (aiohttp.ClientError, OSError):
            return


def _limit_receive_buffer(conn: Connection | None) -> None:
    """Make a connection receive into small buffers, as events are short.

    The event loop's default is 256 KiB, which the C library maps and unmaps for
    each read of a few bytes.
    """
    if conn is not None and hasattr(conn.transport, "max_size"):
        conn.transport.max_size = RECEIVE_BUFFER_BYTES


class _ReplyLostError(aiohttp.ClientError):
    """A connection failed after a call may have been sent."""


async def _never_resend(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from retrying PUT and DELETE calls by itself.

    It sends idempotent methods a second time after the errors replaced here.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _ReplyLostError(str(exc)) from exc


class HttpEngineClient(EngineClient):
    """Calls endpoints over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
    unpooled_session : aiohttp.ClientSession
        It reuses no connections. For calls of plain services, whose answers bear no
        id, and for what concerns an earlier attempt, so that no connection carries an
        attempt's id twice.
    connect_s, idle_s : float
        Timeouts for a connection and for the next bytes, in seconds.
    clock : Clock, optional
    answer_bytes : int
        Limit on the response of a plain service.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        connect_s: float,
        idle_s: float,
        clock: Clock | None = None,
        answer_bytes: int = ANSWER_MAX_BYTES,
    ) -> None:
        self._session = session
        self._unpooled_session = unpooled_session
        self._connect_s = connect_s
        self._idle_s = idle_s
        self._clock = clock or SystemClock()
        self._answer_bytes = answer_bytes
        self._pump = StreamPump()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP session with endpoints, for calls that are not requests."""
        return self._session

    @asynccontextmanager
    async def open(
        self, endpoint: Endpoint, req: ModelRequest, version: str, attempt_id: str
    ) -> AsyncIterator[EngineStream]:
        """Start an attempt and yield its stream."""
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
            headers_timeout_s=self._idle_s,
            headers={
                "X-Request-Id": attempt_id,
                "X-Prefix-Digest": f"{prefix_digest(req.body_bytes):016x}",
                "Content-Type": "application/json",
            },
            data=msgspec.json.encode(body),
        ) as resp:
            await self._check_status(resp)
            yield _HttpStream(resp, self._idle_s, self._pump)

    @asynccontextmanager
    async def resume(
        self, endpoint: Endpoint, attempt_id: str, events: int
    ) -> AsyncIterator[EngineStream]:
        """Resume a stream after a number of events."""
        async with self._send(
            self._unpooled_session,
            "GET",
            f"{endpoint.address}/v1/streams/{attempt_id}",
            math.inf,
            headers_timeout_s=self._idle_s,
            params={"from_event": str(events)},
        ) as resp:
            if resp.status in RESUME_REFUSED_STATUSES:
                raise ResumeRefusedError("the endpoint cannot resume the stream")
            if resp.status != 200:
                raise StreamBrokenError(
                    f"the endpoint answered with status {resp.status}"
                )
            yield _HttpStream(resp, self._idle_s, self._pump)

    async def cancel(self, endpoint: Endpoint, attempt_id: str) -> None:
        """Tell an endpoint to stop an attempt that is no longer needed."""
        url = f"{endpoint.address}/v1/streams/{attempt_id}"
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self._unpooled_session.delete(url, allow_redirects=False):
                    pass
        except (aiohttp.ClientError, OSError):
            return

    async def call(self, endpoint: Endpoint, call: ServiceCall) -> ServiceReply:
        """Call a plain service."""
        headers = dict(call.headers)
        headers["Idempotency-Key"] = call.idempotency_key
        headers["X-Request-Id"] = call.request_id
        try:
            async with asyncio.timeout(call.deadline - self._clock.now()):
                async with self._send(
                    self._unpooled_session,
                    call.method,
                    yarl.URL(endpoint.address + call.path, encoded=True),
                    call.deadline,
                    headers=headers,
                    data=call.body,
                ) as resp:
                    if resp.status in {429, 503}:
                        raise EndpointError(
                            "the endpoint is overloaded", verdict=NOT_RUN
                        )
                    if resp.status < 200:
                        raise EndpointError(
                            f"the endpoint answered with status {resp.status}"
                        )
                    body = await self._read_bounded(resp)
                    return ServiceReply(resp.status, resp.content_type, body)
        except TimeoutError as exc:
            raise DeadlineError("the service did not answer in time") from exc

    async def _read_bounded(self, resp: aiohttp.ClientResponse) -> bytes:
        body = bytearray()
        async for part in resp.content.iter_any():
            body += part
            if len(body) > self._answer_bytes:
                raise AnswerTooLargeError(
                    "the answer of the service exceeds the size limit for answers"
                )
        return bytes(body)

    @asynccontextmanager
    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str | yarl.URL,
        deadline: float,
        headers_timeout_s: float | None = None,
        **kwargs,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        remaining_s = deadline - self._clock.now()
        if remaining_s <= 0:
            raise DeadlineError("the deadline has passed", verdict=NOT_RUN)
        # The connection timeout ends before the deadline: a request that never got a
        # connection is then known not to have run.
        connect_s = min(self._connect_s, remaining_s - CONNECT_TIMEOUT_MARGIN_S)
        timeout = aiohttp.ClientTimeout(
            total=None, connect=max(CONNECT_TIMEOUT_MIN_S, connect_s)
        )
        try:
            async with asyncio.timeout(headers_timeout_s):
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
            raise EndpointError(
                f"could not connect to the endpoint: {exc}", verdict=NOT_RUN
            ) from exc
        except aiohttp.ClientError as exc:
            raise EndpointCrashedError(
                f"the connection to the endpoint failed: {exc}"
            ) from exc
        except TimeoutError as exc:
            raise StreamStalledError("the endpoint did not respond in time") from exc
        except OSError as exc:
            raise EndpointCrashedError(
                f"the connection to the endpoint failed: {exc}"
            ) from exc

    async def _check_status(self, resp: aiohttp.ClientResponse) -> None:
        if resp.status == 200:
            return
        if resp.status in NOT_RUN_STATUSES:
            raise EndpointError("the endpoint accepts no requests", verdict=NOT_RUN)
        if resp.status in REJECTED_STATUSES:
            raise BadRequestError(await _rejection_message(resp))
        raise EndpointError(f"the endpoint answered with status {resp.status}")


async def _rejection_message(resp: aiohttp.ClientResponse) -> str:
    """Return the endpoint's own message about why it rejected a request."""
    data = await resp.content.read(ERROR_BODY_MAX_BYTES)
    try:
        message = msgspec.json.decode(data)["error"]["message"]
    except (msgspec.DecodeError, UnicodeDecodeError, LookupError, TypeError):
        message = None
    if isinstance(message, str) and message:
        return message
    return f"the endpoint rejected the request with status {resp.status}"


@asynccontextmanager
async def open_engine_client(
    clock: Clock,
    connect_s: float,
    idle_s: float,
    answer_bytes: int,
    ssl_context: ssl.SSLContext | bool = True,
) -> AsyncIterator[HttpEngineClient]:
    """Yield a client of endpoints that has its own connections."""
    unpooled_connector = checked_connector(limit=0, force_close=True, ssl=ssl_context)
    async with (
        aiohttp.ClientSession(
            connector=engine_connector(ssl_context),
            cookie_jar=aiohttp.DummyCookieJar(),
            request_class=EngineRequest,
        ) as session,
        aiohttp.ClientSession(
            connector=unpooled_connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as unpooled_session,
    ):
        yield HttpEngineClient(
            session, unpooled_session, connect_s, idle_s, clock, answer_bytes
        )
