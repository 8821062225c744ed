"""Serves a web application on an address, with bounds on what connections hold."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from radishshift.bounded_server import RECEIVE_BYTES, BoundedHandler
from radishshift.connection_bounds import ConnectionBounds
from radishshift.request_hold import RequestHold
from radishshift.tls import ServerTls
from radishshift.tls_handshakes import TlsHandshakes

__all__ = ["HOLD", "AppHandler", "bounded_listening", "held", "read_body"]

HOLD = web.RequestKey("hold", RequestHold)
ACCEPT_BACKLOG = 1024
HANDSHAKES = 64
HANDSHAKE_TIMEOUT_S = 5.0
BODY_TIMEOUT_S = 10.0


class AppHandler(BoundedHandler):
    """One connection to an application."""

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and watch what its receiver does not take of it."""
        result = await super().finish_response(request, resp, start_time)
        self.ended(request)
        return result


@asynccontextmanager
async def held(request: web.Request, bounds: ConnectionBounds) -> AsyncIterator[None]:
    """Count what a request holds, and let its body be read by `read_body`."""
    async with RequestHold(bounds, request) as hold:
        request[HOLD] = hold
        try:
            yield
        finally:
            # The two refer to each other; as garbage they would wait for a collection.
            del request[HOLD]


def _holding(bounds: ConnectionBounds) -> Callable:
    @web.middleware
    async def hold_request(
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        async with held(request, bounds):
            return await handler(request)

    return hold_request


async def read_body(request: web.Request) -> bytes:
    """Return the body of a request, within the bounds of the port if it has any.

    Raises
    ------
    OverloadedError, RequestTimeoutError, TooLargeError
    """
    hold = request.get(HOLD)
    if hold is None:
        return await request.read()
    return await hold.read_body(BODY_TIMEOUT_S)


@asynccontextmanager
async def bounded_listening(
    app: web.Application,
    bounds: ConnectionBounds,
    ip: str = "127.0.0.1",
    port: int = 0,
    tls: ServerTls | None = None,
    **options,
) -> AsyncIterator[str]:
    """Serve an application while the context is open; yield its base URL.

    Parameters
    ----------
    app : web.Application
        Its handlers read bodies by `read_body`.
    bounds : ConnectionBounds
    ip : str
    port : int
        0 selects a free port.
    tls : ServerTls, optional
        Without it, connections are unencrypted.
    **options
        Passed on to `web.AppRunner`.
    """
    loop = asyncio.get_running_loop()
    app.middlewares.append(_holding(bounds))
    runner = web.AppRunner(app, access_log=None, **options)
    await runner.setup()
    conn_options = {"loop": loop, "access_log": None, "read_bufsize": RECEIVE_BYTES}

    def make_protocol() -> asyncio.Protocol:
        return AppHandler(bounds, runner.server, conn_options)

    accept = make_protocol
    if tls is not None:
        accept = TlsHandshakes(
            tls.context, make_protocol, HANDSHAKES, HANDSHAKE_TIMEOUT_S
        )
    server = await loop.create_server(accept, ip, port, backlog=ACCEPT_BACKLOG)
    bound_port = server.sockets[0].getsockname()[1]
    scheme = "http" if tls is None else "https"
    try:
        yield f"{scheme}://{ip}:{bound_port}"
    finally:
        server.close()
        await runner.cleanup()
