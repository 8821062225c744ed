"""Context manager that serves a web application on an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from radishshift.tls import ServerTls

__all__ = ["listening"]


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
