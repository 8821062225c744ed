"""Serves a web application on an address, and ends what it serves."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from radishshift.tls import ServerTls

__all__ = ["listening", "open_transports", "wait_until_sent"]

SENT_POLL_S = 0.02


@asynccontextmanager
async def listening(
    app: web.Application,
    ip: str = "127.0.0.1",
    port: int = 0,
    tls: ServerTls | None = None,
    **options,
) -> AsyncIterator[str]:
    """Serve an application while the context is open; yield its base URL.

    Parameters
    ----------
    app : web.Application
    ip : str
    port : int
        0 selects a free port.
    tls : ServerTls, optional
        Without it, connections are unencrypted.
    **options
        Passed on to `web.AppRunner`.
    """
    runner = web.AppRunner(app, access_log=None, **options)
    await runner.setup()
    context = None if tls is None else tls.context
    site = web.TCPSite(runner, ip, port, ssl_context=context)
    await site.start()
    bound_port = runner.addresses[0][1]
    try:
        scheme = "http" if tls is None else "https"
        yield f"{scheme}://{ip}:{bound_port}"
    finally:
        await runner.cleanup()


def open_transports(server: web.Server) -> list[asyncio.Transport]:
    """Return the transports of a server's open connections."""
    connections = server.connections
    return [conn.transport for conn in connections if conn.transport is not None]


async def wait_until_sent(
    transports: list[asyncio.Transport], timeout_s: float
) -> None:
    """Wait until the write buffers of connections are empty, at most for a time.

    A process that ends drops what slow callers have not let leave it.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while loop.time() < deadline:
        if not any(transport.get_write_buffer_size() for transport in transports):
            return
        await asyncio.sleep(SENT_POLL_S)
