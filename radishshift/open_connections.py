"""What is held, unanswered or unsent on a server's open connections."""

import asyncio
from dataclasses import dataclass

from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from radishshift import http_server as web

__all__ = [
    "HeldOnConnections",
    "has_unanswered_requests",
    "held_on",
    "open_transports",
    "unread_bytes",
    "wait_until_sent",
]

SENT_POLL_S = 0.02


@dataclass(slots=True)
class HeldOnConnections:
    """What a server's open connections hold.

    Attributes
    ----------
    connections : int
    waiting_requests : int
        Requests that were received and wait for their turn on their connection.
    unread_bytes : int
        Bytes of bodies that were received and that no handler has read.
    arriving_bytes : int
        Bytes received of bodies that are not yet complete.
    unsent_bytes : int
        Bytes of answers that callers have not let leave the process.
    """

    connections: int = 0
    waiting_requests: int = 0
    unread_bytes: int = 0
    arriving_bytes: int = 0
    unsent_bytes: int = 0


def held_on(server: web.Server | None) -> HeldOnConnections:
    """Return what the open connections of a server hold."""
    held = HeldOnConnections()
    # The library has no public view of the requests that it has parsed.
    for conn in [] if server is None else server.connections:
        held.connections += 1
        held.waiting_requests += len(conn._messages)
        held.unread_bytes += sum(unread_bytes(body) for _, body in conn._messages)
        request = conn._current_request
        if request is not None:
            held.unread_bytes += unread_bytes(request.content)
            if not request.content.is_eof():
                held.arriving_bytes += request.content.total_bytes
        if conn.transport is not None:
            held.unsent_bytes += conn.transport.get_write_buffer_size()
    return held


def unread_bytes(body: StreamReader) -> int:
    """Return the bytes of a body that were received and not read."""
    return 0 if body is EMPTY_PAYLOAD else body._size


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
