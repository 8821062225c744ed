"""What is unanswered or unsent on a server's open connections."""

import asyncio

from radishshift import http_server as web

__all__ = ["has_unanswered_requests", "open_transports", "wait_until_sent"]

SENT_POLL_S = 0.02


def has_unanswered_requests(request: web.BaseRequest) -> bool:
    """Tell whether requests have been received over the connection after this one."""
    # The library has no public view of the requests that it has parsed.
    return bool(request.protocol._messages)


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
