"""Servers of a host's ports for peers, metrics and readiness, within bounds.

Whoever reaches a port may send to it, and a message is checked when it is complete.
"""

import math
from collections.abc import Awaitable, Callable, Iterator

from radishshift import http_server as web
from radishshift.bounded_server import RECEIVE_BYTES, BoundedHandler
from radishshift.caller_limits import CallerLimits
from radishshift.connection_bounds import ConnectionBounds
from radishshift.decisions.held_bytes import REQUEST_BYTES, HeldBytes
from radishshift.errors import OverloadedError, RequestTimeoutError, TooLargeError
from radishshift.request_hold import RequestHold

__all__ = ["BoundedPort", "peer_connections", "port_bounds", "read_message"]

MIN_PEER_CONNECTIONS = 128
MAX_PEER_CONNECTIONS = 1024
# A message over the smallest link of a deployment, 5 Mbit/s, shared with four others.
MIN_BYTES_PER_S = 125_000
MAX_PAUSE_S = 10.0


def peer_connections(max_fds: int) -> int:
    """Return how many connections of peers a host may hold open.

    Parameters
    ----------
    max_fds : int
        Limit of the process's descriptors, 0 if there is none.
    """
    share = max_fds // 4 if max_fds else math.inf
    return max(MIN_PEER_CONNECTIONS, min(MAX_PEER_CONNECTIONS, share))


def port_bounds(message_bytes: int, messages: int, most: int) -> ConnectionBounds:
    """Return the bounds of a port.

    Parameters
    ----------
    message_bytes, messages : int
        Size of the longest message, and how many of them may arrive at once.
    most : int
        Connections.
    """
    limits = CallerLimits(body_bytes=message_bytes)
    held = HeldBytes(messages * (message_bytes + REQUEST_BYTES))
    return ConnectionBounds(held, lambda: limits, most)


async def read_message(request: web.BaseRequest) -> bytes:
    """Return the body of a request, within the bounds of its port if it has any.

    Raises
    ------
    OverloadedError, RequestTimeoutError, TooLargeError
    """
    conn = getattr(request, "protocol", None)
    if not isinstance(conn, BoundedHandler):
        return await request.read()
    stated = request.content_length or 0
    return await conn.hold.read_body(MAX_PAUSE_S + stated / MIN_BYTES_PER_S)


class _PortHandler(BoundedHandler):
    """One connection; peers end those of requests that they no longer need."""

    def _unanswered(self) -> Iterator[tuple[str, str]]:
        return iter(())


class BoundedPort(web.Server):
    """Server of a port whose connections hold a bounded part of the memory.

    Parameters
    ----------
    handler : callable
        As for `Server`, like the other options. It reads a body by `read_message`.
    bounds : ConnectionBounds
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        bounds: ConnectionBounds,
        **options,
    ) -> None:
        super().__init__(self._answer, access_log=None, **options)
        self._bounded = handler
        self._bounds = bounds

    def __call__(self) -> BoundedHandler:
        """Return the protocol of a new connection."""
        options = {"loop": self._loop, "read_bufsize": RECEIVE_BYTES}
        return _PortHandler(self._bounds, self, self._kwargs | options)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        async with RequestHold(self._bounds, request):
            try:
                return await self._bounded(request)
            except (OverloadedError, RequestTimeoutError, TooLargeError) as exc:
                return web.Response(status=exc.status)
