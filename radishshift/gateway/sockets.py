"""TCP connections and HTTP sessions that detect an unresponsive peer."""

import asyncio
import socket

import aiohttp

__all__ = ["enable_keepalive", "keepalive_session"]

# A dead connection fails after 3 s without traffic: probes begin after 1 s and fail
# after 2 s more, the time in which a host that was cut off counts as reachable again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500  # age of unacknowledged bytes that ends a connection


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive and a timeout of unacknowledged data; disable Nagle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def _open_socket(address: tuple) -> socket.socket:
    sock = socket.socket(address[0], address[1], address[2])
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def keepalive_session(
    idle_s: float = 15.0, read_bytes: int = 1 << 16
) -> aiohttp.ClientSession:
    """Return a client session for numeric IP addresses with TCP keepalive.

    The session neither decompresses bodies nor retries requests.

    Parameters
    ----------
    idle_s : float
        Time after which an idle connection is not reused.
    read_bytes : int
        Size of the read buffer of a body.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=_open_socket,
        resolver=aiohttp.ThreadedResolver(loop=asyncio.get_running_loop()),
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=read_bytes,
    )
    # aiohttp retries idempotent methods by default. Here the route, or the code that
    # calls the store, decides what may be retried.
    session._retry_connection = False
    return session
