"""Caller connections, with limits on their number, sizes and waiting times."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus

import logbook
import msgspec
from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import LineTooLong

from radishshift.answers import Answer
from radishshift.bounded_listening import AppHandler
from radishshift.bounded_server import RECEIVE_BYTES
from radishshift.caller_bounds import CallerBounds
from radishshift.errors import (
    BadRequestError,
    HeadersTooLargeError,
    InternalError,
    OverloadedError,
    RadishshiftError,
    ShuttingDownError,
)
from radishshift.open_connections import open_transports, wait_until_sent
from radishshift.requests import new_request_id
from radishshift.settings import BoundSettings, TimeSettings
from radishshift.tls import ServerTls
from radishshift.tls_handshakes import TlsHandshakes
from radishshift.verdicts import Verdict

__all__ = ["CallerSink", "error_response", "serve_callers"]

WRITE_BUFFER_MAX_BYTES = 1 << 16
HEADERS_MAX = 64
LISTEN_BACKLOG = 1024
KEEP_ALIVE_S = 75.0
HANDSHAKES_MIN = 16
CONNECTIONS_PER_HANDSHAKE = 4
UNSENT_TIMEOUT_S = 2.0  # for the end of answers that callers read slowly
NO_RETRY_STATUSES = frozenset({400, 401, 403, 404, 410, 413, 422, 431})

logger = logbook.Logger("callers")


class CallerSink:
    """Sends an answer to the caller for as long as it is connected.

    Parameters
    ----------
    request : web.Request
    stall_s : float
        Time after which a caller that does not read counts as disconnected, in
        seconds.
    """

    def __init__(self, request: web.Request, stall_s: float) -> None:
        self._request = request
        self._stall_s = stall_s
        self._transport = request.transport
        self._writer = None
        self._disconnected = False
        self.resp: web.StreamResponse | None = None

    @property
    def caller_disconnected(self) -> bool:
        """Tell whether the caller has disconnected."""
        return self._disconnected or self._request.transport is None

    async def start(self, answer: Answer) -> None:
        """Send the status line and the headers."""
        self.resp = web.StreamResponse(status=answer.status, headers=answer.headers)
        self.resp.content_type = answer.content_type
        self.resp.headers["Cache-Control"] = "no-store"
        if self._request.version >= HttpVersion11:
            self.resp.enable_chunked_encoding()
        try:
            self._writer = await self.resp.prepare(self._request)
        except ConnectionError:
            self._disconnected = True

    async def write(self, data: bytes) -> None:
        """Send a part, unless the caller has disconnected."""
        if self._writer is None or self.caller_disconnected:
            return
        try:
            await self._writer.write(data, drain=False)
        except ConnectionError:
            self._disconnected = True
        await self.drain()

    def push(self, data: bytes) -> bool:
        """Send a part after the first; return False if the caller reads too slowly.

        Writes to the transport directly, which saves several calls of aiohttp's
        stream writer for each part.
        """
        if self._writer is None or self.caller_disconnected:
            return True
        if self.resp.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)
        return self._transport.get_write_buffer_size() <= WRITE_BUFFER_MAX_BYTES

    async def drain(self) -> None:
        """Wait until the write buffer has drained, for at most `stall_s` seconds."""
        if (
            self.caller_disconnected
            or self._transport.get_write_buffer_size() <= WRITE_BUFFER_MAX_BYTES
        ):
            return
        try:
            async with asyncio.timeout(self._stall_s):
                await self._writer.drain()
        except TimeoutError:
            logger.info("closing the connection of a caller that stopped reading")
            self._disconnected = True
            self._transport.abort()
        except ConnectionError:
            self._disconnected = True


def error_response(exc: RadishshiftError, request_id: str) -> web.Response:
    """Return the HTTP response for an error."""
    # The OpenAI client retries some statuses by itself. X-Should-Retry overrides
    # that, so that only requests that have not run are retried.
    retry = exc.verdict is Verdict.NOT_RUN and exc.status not in NO_RETRY_STATUSES
    headers = {
        "X-Request-Id": request_id,
        "X-Radishshift-Verdict": exc.verdict.value,
        "X-Should-Retry": "true" if retry else "false",
    }
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(exc.retry_after_s))
    resp = web.Response(
        status=exc.status,
        headers=headers,
        body=msgspec.json.encode(exc.body(request_id)),
        content_type="application/json",
    )
    if isinstance(exc, ShuttingDownError):
        resp.force_close()
    return resp


def _raw_response(error: RadishshiftError) -> bytes:
    """Return the bytes of an error's response, after which the connection closes."""
    resp = error_response(error, new_request_id())
    reason = HTTPStatus(error.status).phrase
    headers = dict(resp.headers) | {
        "Content-Length": str(len(resp.body)),
        "Connection": "close",
    }
    lines = [f"HTTP/1.1 {error.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode() + resp.body


class _CallerProtocol(AppHandler):
    """HTTP protocol of a caller connection; reports protocol errors as JSON too."""

    id_header = "X-Request-Id"

    def __init__(
        self, connections: CallerBounds, manager: web.Server, options: dict
    ) -> None:
        super().__init__(connections, manager, options)
        self._receive_timeout_s = connections.receive_s
        self._first_request_timer: asyncio.TimerHandle | None = None
        self.opened_at = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the first-request timer."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.opened_at = loop.time()
        timer = loop.call_later(self._receive_timeout_s, self.force_close)
        self._first_request_timer = timer

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the first-request timer."""
        self.cancel_first_request_timer()
        super().connection_lost(exc)

    def cancel_first_request_timer(self) -> None:
        """Cancel the first-request timer; called once request headers are complete."""
        if self._first_request_timer is not None:
            self._first_request_timer.cancel()
            self._first_request_timer = None

    def refusal(self, error: RadishshiftError) -> bytes:
        """Return the answer to a request whose head isn't complete."""
        return _raw_response(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to malformed HTTP or to an internal error."""
        if request.writer is not None and request.writer.output_size > 0:
            raise ConnectionError("the response has already started")
        error: RadishshiftError = BadRequestError("the request is malformed HTTP")
        if isinstance(exc, LineTooLong):
            error = HeadersTooLargeError("the request headers are too large")
        elif status >= 500:
            error = InternalError("internal error")
            logger.error(
                "internal error on a caller connection: {}", type(exc).__name__
            )
        resp = error_response(error, new_request_id())
        resp.force_close()
        return resp


class _RejectingProtocol(asyncio.Protocol):
    """Rejects a connection above the limit with status 503 and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the error response and close the connection."""
        error = OverloadedError("too many connections", retry_after_s=1.0)
        transport.write(_raw_response(error))
        transport.close()


@asynccontextmanager
async def serve_callers(
    app: web.Application,
    connections: CallerBounds,
    bounds: BoundSettings,
    times: TimeSettings,
    ip: str = "127.0.0.1",
    port: int = 0,
    tls: ServerTls | None = None,
) -> AsyncIterator[str]:
    """Serve callers; yield the base URL.

    Parameters
    ----------
    app : web.Application
    connections : CallerBounds
    bounds : BoundSettings
    times : TimeSettings
    ip : str
    port : int
        0 selects a free port.
    tls : ServerTls, optional
        Without it, connections are unencrypted.
    """
    loop = asyncio.get_running_loop()
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()

    options = {
        "loop": loop,
        "access_log": None,
        "keepalive_timeout": KEEP_ALIVE_S,
        "read_bufsize": RECEIVE_BYTES,
        "max_line_size": bounds.header_bytes,
        "max_field_size": bounds.header_bytes,
        "max_headers": HEADERS_MAX,
    }

    def make_protocol() -> asyncio.Protocol:
        if not connections.has_room():
            return _RejectingProtocol()
        return _CallerProtocol(connections, runner.server, options)

    accept = make_protocol
    if tls is not None:
        most = max(HANDSHAKES_MIN, bounds.connections // CONNECTIONS_PER_HANDSHAKE)
        accept = TlsHandshakes(tls.context, make_protocol, most, times.receive_s)
    server = await loop.create_server(accept, ip, port, backlog=LISTEN_BACKLOG)
    bound_port = server.sockets[0].getsockname()[1]
    scheme = "http" if tls is None else "https"
    try:
        yield f"{scheme}://{ip}:{bound_port}"
    finally:
        server.close()
        transports = open_transports(runner.server)
        await runner.cleanup()
        await wait_until_sent(transports, UNSENT_TIMEOUT_S)
